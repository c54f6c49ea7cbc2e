#include "al_net/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft {

namespace {

/** Events taken at once; the set is asked again at the next wake-up. */
constexpr int kEventsPerWait = 64;

}  // namespace

SocketPoller::SocketPoller(EventLoop& loop)
    : event_loop(loop), set(epoll_create1(EPOLL_CLOEXEC)) {
  if (this->set < 0 ||
      !loop.WatchReadable(this->set, [this] { this->Dispatch(); })) {
    throw std::runtime_error("the epoll set cannot be watched");
  }
}

SocketPoller::~SocketPoller() {
  close(this->set);
}

auto SocketPoller::Add(int descriptor, Handler handler) -> Token {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = ++this->last_token;
  if (epoll_ctl(this->set, EPOLL_CTL_ADD, descriptor, &event) != 0) {
    return 0;
  }
  this->handlers.emplace(this->last_token, std::move(handler));
  return this->last_token;
}

auto SocketPoller::Remove(Token token, int descriptor) -> void {
  epoll_ctl(this->set, EPOLL_CTL_DEL, descriptor, nullptr);
  this->handlers.erase(token);
}

auto SocketPoller::Dispatch() -> void {
  std::array<epoll_event, kEventsPerWait> events{};
  const int count = epoll_wait(this->set, events.data(), kEventsPerWait, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto found = this->handlers.find(event.data.u64);
    if (found == this->handlers.end()) {
      continue;  // Removed by an earlier handler of this batch.
    }
    constexpr std::uint32_t kReadable =
        EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    constexpr std::uint32_t kWritable = EPOLLOUT | EPOLLHUP | EPOLLERR;
    const Readiness readiness{(event.events & kReadable) != 0,
                              (event.events & kWritable) != 0};
    const Handler handler = found->second;  // Survives its own Remove().
    handler(readiness);
  }
}

}  // namespace auburnloft

#include "al_net/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft {

namespace {

/** Events per epoll_wait() call. Further events wait for the next loop
   iteration. */
constexpr int kEventsPerWait = 64;

/** Time for which a timer that is due waits for ready sockets: a tenth of the
   half second within which callers expect an answer after their time-out. */
constexpr Duration kMaxServeTime = std::chrono::milliseconds(50);

}  // namespace

SocketPoller::SocketPoller(EventLoop& loop)
    : event_loop(loop), epoll_descriptor(epoll_create1(EPOLL_CLOEXEC)) {
  if (this->epoll_descriptor < 0 ||
      !loop.WatchReadable(this->epoll_descriptor,
                          [this] { this->Dispatch(); })) {
    throw std::runtime_error(
        "the event loop cannot watch the epoll descriptor");
  }
  loop.AddSockets(this, [this] { this->DispatchReady(); });
}

SocketPoller::~SocketPoller() {
  this->event_loop.RemoveSockets(this);
  this->event_loop.StopWatching(this->epoll_descriptor);
}

auto SocketPoller::Add(int descriptor, Handler handler) -> Token {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = ++this->last_token;
  if (epoll_ctl(this->epoll_descriptor, EPOLL_CTL_ADD, descriptor, &event) !=
      0) {
    return 0;
  }
  this->handlers.emplace(this->last_token, std::move(handler));
  return this->last_token;
}

auto SocketPoller::Remove(Token token, int descriptor) -> void {
  epoll_ctl(this->epoll_descriptor, EPOLL_CTL_DEL, descriptor, nullptr);
  this->handlers.erase(token);
}

auto SocketPoller::DispatchReady() -> void {
  const Instant end = this->event_loop.Now() + kMaxServeTime;
  while (this->Dispatch() && this->event_loop.Now() < end) {
  }
}

auto SocketPoller::Dispatch() -> bool {
  std::array<epoll_event, kEventsPerWait> events{};
  const int count =
      epoll_wait(this->epoll_descriptor, events.data(), kEventsPerWait, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto found = this->handlers.find(event.data.u64);
    if (found == this->handlers.end()) {
      continue;  // An earlier handler of this batch removed it.
    }
    constexpr std::uint32_t kReadable =
        EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    constexpr std::uint32_t kClosed = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    constexpr std::uint32_t kWritable = EPOLLOUT | EPOLLHUP | EPOLLERR;
    const Readiness readiness{(event.events & kReadable) != 0,
                              (event.events & kWritable) != 0,
                              (event.events & kClosed) != 0};
    const Handler handler = found->second;  // Copied: it may call Remove().
    handler(readiness);
  }
  return count == kEventsPerWait;
}

}  // namespace auburnloft

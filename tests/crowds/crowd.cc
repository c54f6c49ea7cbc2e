#include "crowds/crowd.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "al_net/tcp_connection.h"

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;

/** Small, so that responses which are not read soon stay with the server. */
constexpr int kReceiveBufferBytes = 4'096;

/** Size of the block that is built of copies of the repeated part. */
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;

/** Bytes that a slow reader takes in a turn. */
constexpr std::size_t kSlowReadBytes = 16;

auto Connect(const sockaddr_in& target) -> int {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

Crowd::Crowd(std::string_view address, std::size_t size, CrowdScript script)
    : script(std::move(script)), connections(size) {
  const std::size_t copies =
      this->script.repeated.empty()
          ? 0
          : std::min(this->script.count,
                     1 + kBlockBytes / this->script.repeated.size());
  for (std::size_t i = 0; i < copies; ++i) {
    this->block += this->script.repeated;
  }
  sockaddr_in target{};
  if (ParseSocketAddress(address, target)) {
    for (Connection& connection : this->connections) {
      connection.descriptor = Connect(target);
    }
  }
}

Crowd::~Crowd() {
  for (Connection& connection : this->connections) {
    this->Close(connection);
  }
}

auto Crowd::Play(milliseconds settle, milliseconds limit) -> void {
  const Clock::time_point begin = Clock::now();
  Clock::time_point progress_at = begin;
  std::vector<pollfd> watched(this->connections.size());
  while (Clock::now() - begin < limit && Clock::now() - progress_at < settle) {
    const Clock::time_point now = Clock::now();
    for (std::size_t i = 0; i < watched.size(); ++i) {
      const Connection& connection = this->connections[i];
      const bool sends =
          connection.sent < this->Total() && now >= connection.next_at;
      const bool reads = this->script.reading != CrowdScript::Reading::kNothing;
      watched[i] = {
          connection.descriptor,
          static_cast<short>((sends ? POLLOUT : 0) | (reads ? POLLIN : 0)), 0};
    }
    constexpr int kTurnMs = 5;
    poll(watched.data(), watched.size(), kTurnMs);
    for (std::size_t i = 0; i < watched.size(); ++i) {
      if (watched[i].revents != 0 &&
          this->Advance(this->connections[i], watched[i].revents, now)) {
        progress_at = now;
      }
    }
  }
}

auto Crowd::open_connections() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const Connection& connection) { return connection.descriptor >= 0; }));
}

//==============================================================================

auto Crowd::Total() const -> std::size_t {
  return this->script.first.size() +
         this->script.repeated.size() * this->script.count +
         this->script.last.size();
}

auto Crowd::RestAfter(std::size_t sent) const -> std::string_view {
  if (sent < this->script.first.size()) {
    return std::string_view(this->script.first).substr(sent);
  }
  sent -= this->script.first.size();
  const std::size_t middle = this->script.repeated.size() * this->script.count;
  if (sent < middle) {
    const std::string_view rest =
        std::string_view(this->block)
            .substr(sent % this->script.repeated.size());
    return rest.substr(0, middle - sent);
  }
  return std::string_view(this->script.last).substr(sent - middle);
}

auto Crowd::Advance(Connection& connection, short events, Clock::time_point now)
    -> bool {
  if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
    this->Close(connection);
    return true;
  }
  bool progress = false;
  if ((events & POLLIN) != 0) {
    progress = this->Receive(connection);
  }
  if ((events & POLLOUT) != 0 && connection.descriptor >= 0) {
    progress = this->Send(connection, now) || progress;
  }
  return progress;
}

auto Crowd::Send(Connection& connection, Clock::time_point now) -> bool {
  std::string_view rest = this->RestAfter(connection.sent);
  if (this->script.piece > 0) {
    rest = rest.substr(0, this->script.piece);
  }
  const ssize_t count = send(connection.descriptor, rest.data(), rest.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      this->Close(connection);
      return true;
    }
    return false;
  }
  connection.sent += static_cast<std::size_t>(count);
  connection.next_at = now + this->script.pause;
  return count > 0;
}

auto Crowd::Receive(Connection& connection) -> bool {
  std::array<char, 16'384> dropped{};
  const bool is_slow = this->script.reading == CrowdScript::Reading::kSlowly;
  const ssize_t count =
      recv(connection.descriptor, dropped.data(),
           is_slow ? kSlowReadBytes : dropped.size(), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
    this->Close(connection);
    return true;
  }
  return false;
}

auto Crowd::Close(Connection& connection) -> void {
  if (connection.descriptor >= 0) {
    close(std::exchange(connection.descriptor, -1));
  }
}

}  // namespace auburnloft::testing

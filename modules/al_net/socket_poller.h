#ifndef AL_NET_SOCKET_POLLER_H_
#define AL_NET_SOCKET_POLLER_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace auburnloft {

class EventLoop;

/** Watches any number of sockets through one epoll set.

    The loop watches only the set, so that its cost does not grow with the
   number of open connections. Events are edge-triggered: a handler reads or
   writes until the socket has no more.

    Thread safety: none; used on the loop's thread.
*/
class SocketPoller {
 public:
  /** What a socket is ready for. */
  struct Readiness {
    bool readable = false;
    bool writable = false;
  };
  using Handler = std::function<void(Readiness)>;
  using Token = std::uint64_t;

  explicit SocketPoller(EventLoop& loop);
  ~SocketPoller();

  SocketPoller(const SocketPoller&) = delete;
  auto operator=(const SocketPoller&) -> SocketPoller& = delete;

  /** Watches `descriptor`; its owner closes it after Remove().
      @return 0 where the kernel refuses. */
  auto Add(int descriptor, Handler handler) -> Token;

  /** Ends the watch. The handler may be the one that runs now. */
  auto Remove(Token token, int descriptor) -> void;

  [[nodiscard]] auto loop() const -> EventLoop& { return this->event_loop; }
  [[nodiscard]] auto size() const -> std::size_t {
    return this->handlers.size();
  }

 private:
  auto Dispatch() -> void;

  EventLoop& event_loop;
  int set = -1;
  Token last_token = 0;
  std::unordered_map<Token, Handler> handlers;
};

}  // namespace auburnloft

#endif  // AL_NET_SOCKET_POLLER_H_

#ifndef AL_NET_SOCKET_POLLER_H_
#define AL_NET_SOCKET_POLLER_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace auburnloft {

class EventLoop;

/** Watches any number of sockets through one epoll instance.

    The event loop watches only the epoll descriptor, so that the cost of an
   iteration does not grow with the number of open connections. Events are
   edge-triggered: a handler must read or write until the socket would block.

    Thread safety: none; use on the loop's thread.
*/
class SocketPoller {
 public:
  /** The operations that a socket is ready for. */
  struct Readiness {
    bool readable = false;
    bool writable = false;
    bool peer_closed = false;  ///< The peer sends no more, or it has failed.
  };
  using Handler = std::function<void(Readiness)>;
  using Token = std::uint64_t;

  /** Throws std::runtime_error if the loop cannot watch the epoll descriptor.
   */
  explicit SocketPoller(EventLoop& loop);
  ~SocketPoller();

  SocketPoller(const SocketPoller&) = delete;
  auto operator=(const SocketPoller&) -> SocketPoller& = delete;

  /** Calls `handler` whenever `descriptor` becomes ready. The caller keeps
     ownership of the descriptor and closes it after Remove().
      @return a token for Remove(), or 0 if the kernel rejects the descriptor.
   */
  auto Add(int descriptor, Handler handler) -> Token;

  /** Stops watching. A handler may remove itself while it runs. */
  auto Remove(Token token, int descriptor) -> void;

  [[nodiscard]] auto loop() const -> EventLoop& { return this->event_loop; }
  [[nodiscard]] auto size() const -> std::size_t {
    return this->handlers.size();
  }

 private:
  /** Serves sockets that are ready, a limited number.
      @return whether there may be more. */
  auto Dispatch() -> bool;
  /** Serves the sockets that are ready, for a limited time. */
  auto DispatchReady() -> void;

  EventLoop& event_loop;
  int epoll_descriptor = -1;
  Token last_token = 0;
  std::unordered_map<Token, Handler> handlers;
};

}  // namespace auburnloft

#endif  // AL_NET_SOCKET_POLLER_H_

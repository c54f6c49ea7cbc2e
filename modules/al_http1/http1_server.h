#ifndef AL_HTTP1_HTTP1_SERVER_H_
#define AL_HTTP1_HTTP1_SERVER_H_

#include <deque>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "al_http1/http1_server_session.h"
#include "al_net/tcp_listener.h"

namespace auburnloft {

/** An HTTP/1.1 server: a listener and the sessions of its connections. With a
    bound on connections, a new one takes the place of the least useful one: one
    that is closing, or leads nowhere, or is without progress for longest. Those
    with an open request are kept, and the new one is refused then.

    Thread safety: none; use on the loop's thread.
*/
class Http1Server {
 public:
  /** @pre `limits` outlives the server. */
  Http1Server(SocketPoller& poller,
              const Http1SessionLimits& limits,
              Http1ServerSession::OnRequest on_request,
              Http1ServerOptions options = {});
  ~Http1Server();

  Http1Server(const Http1Server&) = delete;
  auto operator=(const Http1Server&) -> Http1Server& = delete;

  /** Listens at `address`, an `ip:port`. @return false if the address is
     invalid or cannot be bound. */
  [[nodiscard]] auto Listen(std::string_view address) -> bool;

  /** Accepts the connections that are waiting, stops listening, and closes
     connections that have been idle for at least `min_idle`. The others may be
     about to carry a request. */
  auto StopListening(Duration min_idle) -> void;

  /** Closes connections that have been idle for at least `min_idle`. */
  auto CloseIdle(Duration min_idle) -> void;

  /** Returns whether a connection, open or closing, still has bytes to send. */
  [[nodiscard]] auto HasUnsentResponses() const -> bool;

 private:
  auto OnAccepted(int descriptor) -> void;
  auto OnSessionClosed(Http1ServerSession* closed) -> void;
  /** Closes a connection if there are as many as there may be.
     @return false if each of them must be kept. */
  auto FindRoom() -> bool;
  /** Closes the oldest connection that is closing and has sent its response.
     @return false if there is none. */
  auto CloseOneThatIsClosing() -> bool;
  /** Returns the connection to close for a new one: of the lowest rank, without
     progress for longest, and with no unread input, which may be a whole
     request; null if each must be kept. */
  [[nodiscard]] auto LeastUseful() const -> std::shared_ptr<Http1ServerSession>;
  auto Report(std::string_view limit, std::size_t bytes) const -> void;

  SocketPoller& poller;
  const Http1SessionLimits& limits;
  Http1ServerSession::OnRequest on_request;
  std::shared_ptr<Http1ServerOptions> options;
  TcpListener listener;
  std::unordered_map<Http1ServerSession*, std::shared_ptr<Http1ServerSession>>
      sessions;
  std::deque<std::weak_ptr<TcpConnection>> closing;  ///< The oldest first.
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_H_

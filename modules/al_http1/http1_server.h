#ifndef AL_HTTP1_HTTP1_SERVER_H_
#define AL_HTTP1_HTTP1_SERVER_H_

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "al_http1/http1_server_session.h"
#include "al_net/tcp_listener.h"

namespace auburnloft {

/** An HTTP/1.1 server: a listener and the sessions of its connections.

    Thread safety: none; use on the loop's thread.
*/
class Http1Server {
 public:
  /** @param large_bodies  see Http1ServerSession::Open(); servers may share it.
      @pre `limits` outlives the server. */
  Http1Server(SocketPoller& poller,
              const Http1SessionLimits& limits,
              Http1ServerSession::OnRequest on_request,
              std::shared_ptr<ByteBudget> large_bodies = nullptr);
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

  SocketPoller& poller;
  const Http1SessionLimits& limits;
  Http1ServerSession::OnRequest on_request;
  std::shared_ptr<ByteBudget> large_bodies;
  TcpListener listener;
  std::set<std::shared_ptr<Http1ServerSession>> sessions;
  std::vector<std::weak_ptr<const TcpConnection>> closing;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_H_

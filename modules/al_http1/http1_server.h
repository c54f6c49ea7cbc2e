#ifndef AL_HTTP1_HTTP1_SERVER_H_
#define AL_HTTP1_HTTP1_SERVER_H_

#include <memory>
#include <set>
#include <string_view>

#include "al_http1/http1_server_session.h"
#include "al_net/tcp_listener.h"

namespace auburnloft {

/** A listener with the sessions that came through it.

    Thread safety: none; used on the loop's thread.
*/
class Http1Server {
 public:
  /** @pre `limits` outlives the server. */
  Http1Server(SocketPoller& poller,
              const Http1SessionLimits& limits,
              Http1ServerSession::OnRequest on_request);
  ~Http1Server();

  Http1Server(const Http1Server&) = delete;
  auto operator=(const Http1Server&) -> Http1Server& = delete;

  /** Listens at `address`, an `ip:port`. @return false where that fails. */
  [[nodiscard]] auto Listen(std::string_view address) -> bool;

  /** Takes no new connections, and closes those on which no request has begun.
   */
  auto StopListening() -> void;

  /** Closes connections on which no request has begun for `least`. */
  auto CloseIdle(Duration least) -> void;

 private:
  auto OnAccepted(int descriptor) -> void;

  SocketPoller& poller;
  const Http1SessionLimits& limits;
  Http1ServerSession::OnRequest requested;
  TcpListener listener;
  std::set<std::shared_ptr<Http1ServerSession>> sessions;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_H_

#ifndef AL_HTTP1_HTTP1_CLIENT_H_
#define AL_HTTP1_HTTP1_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "al_core/time/instant.h"
#include "al_http1/http1_client_connection.h"
#include "al_http1/http1_message.h"

namespace auburnloft {

class LoopTimer;

/** An HTTP client for one server: one call at a time, over a persistent
    connection, with a time-out per call. Used for the log service and for other
    routers.

    A connection is not reused after the time that the server stated for it.

    Thread safety: none; use on the loop's thread.
*/
class Http1Client {
 public:
  struct Reply {
    int status = 0;
    Http1Fields fields;
    std::string body;
  };
  /** Receives nullopt if no complete reply arrived. The server may have
     executed the call nevertheless. */
  using OnReply = std::function<void(std::optional<Reply>)>;

  Http1Client(SocketPoller& poller, std::string address);
  ~Http1Client();

  Http1Client(const Http1Client&) = delete;
  auto operator=(const Http1Client&) -> Http1Client& = delete;

  /** Sends a request and calls `on_reply` once. The call fails after
     `inactivity_timeout`, but each received part of the body restarts that
     time: a long reply over a slow link may take longer in total. A reply that
     does not end within a maximum size and time fails the call, too.
      @pre !is_busy(). */
  auto Call(const Http1Request& request,
            Duration inactivity_timeout,
            OnReply on_reply) -> void;

  /** True while a call waits for its reply. */
  [[nodiscard]] auto is_busy() const -> bool {
    return static_cast<bool>(this->pending_callback);
  }

 private:
  /** Closes the connection and fails the call. */
  auto GiveUp() -> void;
  auto Finish(std::optional<Reply> result) -> void;

  SocketPoller& poller;
  std::string address;
  std::shared_ptr<Http1ClientConnection> connection;
  std::unique_ptr<LoopTimer> timer;
  OnReply pending_callback;
  Reply reply;
  std::optional<Instant> reusable_until;  ///< None: not stated.
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_CLIENT_H_

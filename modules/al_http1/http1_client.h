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

/** Calls one server over a kept connection, one call at a time, each with a
   time-out. For the platform's log and for other routers.

    Thread safety: none; used on the loop's thread.
*/
class Http1Client {
 public:
  struct Reply {
    int status = 0;
    std::string body;
  };
  /** None: no whole answer came; the call may have been executed. */
  using OnReply = std::function<void(std::optional<Reply>)>;

  Http1Client(SocketPoller& poller, std::string address);
  ~Http1Client();

  Http1Client(const Http1Client&) = delete;
  auto operator=(const Http1Client&) -> Http1Client& = delete;

  /** Sends a call; gives it up where nothing came for `limit`: a long answer
     over a busy link is waited for as long as it goes on. @pre !busy(). */
  auto Call(const Http1Request& request, Duration limit, OnReply on_reply)
      -> void;

  [[nodiscard]] auto is_busy() const -> bool {
    return static_cast<bool>(this->waiting);
  }

 private:
  auto Finish(std::optional<Reply> result) -> void;

  SocketPoller& poller;
  std::string address;
  std::shared_ptr<Http1ClientConnection> connection;
  std::unique_ptr<LoopTimer> timer;
  OnReply waiting;
  Reply reply;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_CLIENT_H_

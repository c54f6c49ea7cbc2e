#ifndef AL_LOGSTORE_LOG_CALLER_H_
#define AL_LOGSTORE_LOG_CALLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "al_core/time/instant.h"
#include "al_http1/http1_client_connection.h"

namespace auburnloft {

class LoopTimer;

/** Calls the platform's log over one kept connection, one call at a time.

    Thread safety: none; used on the loop's thread.
*/
class LogCaller {
 public:
  struct Reply {
    int status = 0;
    std::string body;
  };
  /** None: no whole answer came; the call may have been executed. */
  using OnReply = std::function<void(std::optional<Reply>)>;

  LogCaller(SocketPoller& poller, std::string address);
  ~LogCaller();

  LogCaller(const LogCaller&) = delete;
  auto operator=(const LogCaller&) -> LogCaller& = delete;

  /** Sends a call; gives it up after `limit`. @pre !busy(). */
  auto Call(const Http1Request& request, Duration limit, OnReply on_reply)
      -> void;

  [[nodiscard]] auto busy() const -> bool {
    return static_cast<bool>(this->waiting);
  }

 private:
  auto Finish(std::optional<Reply> reply) -> void;

  SocketPoller& poller;
  std::string address;
  std::shared_ptr<Http1ClientConnection> connection;
  std::unique_ptr<LoopTimer> timer;
  OnReply waiting;
  Reply reply;
};

}  // namespace auburnloft

#endif  // AL_LOGSTORE_LOG_CALLER_H_

#ifndef AL_HTTP1_HTTP1_CLIENT_CONNECTION_H_
#define AL_HTTP1_HTTP1_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_message.h"
#include "al_net/tcp_connection.h"

namespace auburnloft {

class Http1ResponseReader;

/** How an exchange with a server ended. */
enum class Http1Outcome {
  kComplete,    ///< The response is complete.
  kNotSent,     ///< No byte of the request was sent.
  kNoResponse,  ///< The connection closed before a response began.
  kBroken,      ///< The response was truncated or malformed.
};

/** To which request a response belongs, by its header. */
enum class ResponseOwner {
  kThisRequest,
  kOtherRequest,
  kUnknown,  ///< The header does not tell.
};

/** A persistent connection to a server, for one exchange at a time.

    A response to another request is read to its end and discarded, and the next
   response is awaited: a faulty server may respond twice, at any time later.
   Informational responses (1xx) are discarded as well. The exchange fails if
   the discarded responses exceed a limit, or if the first response on a reused
   connection does not tell to which request it belongs.

    Thread safety: none; use on the loop's thread.
*/
class Http1ClientConnection
    : public std::enable_shared_from_this<Http1ClientConnection> {
 public:
  struct ExchangeCallbacks {
    /** Optional; without it, each response belongs to the exchange. */
    std::function<ResponseOwner(const Http1ResponseHead&)> owner_of_response;
    std::function<void(const Http1ResponseHead&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void(Http1Outcome)> on_done;  ///< Called once, last.
  };

  /** Starts to connect to `address`, an `ip:port`.
     @return null if that fails at once. */
  [[nodiscard]] static auto Connect(SocketPoller& poller,
                                    std::string_view address,
                                    Duration timeout)
      -> std::shared_ptr<Http1ClientConnection>;

  ~Http1ClientConnection();

  Http1ClientConnection(const Http1ClientConnection&) = delete;
  auto operator=(const Http1ClientConnection&)
      -> Http1ClientConnection& = delete;

  //============================================================================
  // Commands

  /** Sends a request as soon as the connection is established. on_done reports
     the outcome. @pre is_idle(). */
  auto Start(std::string_view request_bytes,
             bool is_head_request,
             ExchangeCallbacks callbacks) -> void;

  /** Sets a callback for the case that the connection closes while it is idle.
     An idle connection that receives bytes is closed, too. */
  auto SetOnIdleEnd(std::function<void()> on_idle_end) -> void;

  /** Pauses or resumes reading the response. */
  auto SetReadingPaused(bool paused) -> void;

  /** Closes at once. No callback is called any more. */
  auto Close() -> void;

  //============================================================================
  // Queries

  /** True if the connection is open and has no exchange. */
  [[nodiscard]] auto is_idle() const -> bool {
    return this->reader == nullptr && this->connection->is_open();
  }

  /** True if the connection can take another request. */
  [[nodiscard]] auto is_reusable() const -> bool {
    return this->is_idle() && !this->closes_after_response;
  }

  /** Returns whether bytes, or the server's close, wait to be read. On an idle
     connection they belong to no request. */
  [[nodiscard]] auto HasUnreadInput() const -> bool {
    return this->connection->HasUnreadInput();
  }

  [[nodiscard]] auto is_connected() const -> bool {
    return this->connection->is_connected();
  }

 private:
  explicit Http1ClientConnection(SocketPoller& poller);

  auto OnConnected() -> void;
  auto OnInput() -> void;
  auto OnEnd(TcpCloseReason end) -> void;
  auto FeedInput() -> void;
  auto DeliverHead() -> void;
  auto DeliverBody() -> void;
  [[nodiscard]] auto OwnerOf(const Http1ResponseHead& head) const
      -> ResponseOwner;
  auto Finish(Http1Outcome outcome) -> void;

  SocketPoller& poller;
  std::shared_ptr<TcpConnection> connection;
  std::unique_ptr<Http1ResponseReader> reader;
  ExchangeCallbacks exchange;
  std::function<void()> on_idle_end;
  std::string unsent_request;
  std::size_t discarded_bytes = 0;  ///< Of the current exchange.
  bool is_reused = false;           ///< An exchange precedes the current one.
  bool is_head_request = false;
  bool head_delivered = false;
  bool discards_response = false;
  bool request_written = false;
  bool closes_after_response = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_CLIENT_CONNECTION_H_

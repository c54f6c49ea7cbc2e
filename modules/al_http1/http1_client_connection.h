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
  kComplete,    ///< The whole answer came.
  kNotSent,     ///< No byte of the request left this machine.
  kNoResponse,  ///< The connection ended before an answer began.
  kBroken,      ///< The answer ended early, or is none of the protocol.
};

/** One connection to a server, for one exchange after the other.

    An answer that `matches_request` rejects is read to its end and dropped, and
   the next one is taken: a faulty server may answer twice.

    Thread safety: none; used on the loop's thread.
*/
class Http1ClientConnection
    : public std::enable_shared_from_this<Http1ClientConnection> {
 public:
  struct ExchangeCallbacks {
    std::function<bool(const Http1ResponseHead&)>
        matches_request;  ///< May be empty.
    std::function<void(const Http1ResponseHead&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void(Http1Outcome)> on_done;  ///< The last call; runs once.
  };

  /** Starts to connect. @return null where that is impossible at once. */
  [[nodiscard]] static auto Connect(SocketPoller& poller,
                                    std::string_view address,
                                    Duration limit)
      -> std::shared_ptr<Http1ClientConnection>;

  ~Http1ClientConnection();

  Http1ClientConnection(const Http1ClientConnection&) = delete;
  auto operator=(const Http1ClientConnection&)
      -> Http1ClientConnection& = delete;

  //============================================================================
  // Commands

  /** Sends a request, as soon as the connection is established.
      @pre idle(). */
  auto Start(std::string_view request_bytes,
             bool is_head_request,
             ExchangeCallbacks callbacks) -> void;

  /** Called when an idle connection ends or gets bytes that nobody asked for;
     it is closed then. */
  auto SetOnIdleEnd(std::function<void()> on_idle_end) -> void;

  /** Stops or goes on reading the answer. */
  auto SetReadingPaused(bool paused) -> void;

  /** Closes at once; no callback runs any more. */
  auto Close() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto is_idle() const -> bool {
    return this->reader == nullptr && this->connection->is_open();
  }

  /** True where the next request may go here. */
  [[nodiscard]] auto is_reusable() const -> bool {
    return this->is_idle() && !this->closes_after_response;
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
  auto Finish(Http1Outcome outcome) -> void;

  SocketPoller& poller;
  std::shared_ptr<TcpConnection> connection;
  std::unique_ptr<Http1ResponseReader> reader;
  ExchangeCallbacks exchange;
  std::function<void()> idle_end;
  std::string waiting_request;
  bool is_head_request = false;
  bool head_delivered = false;
  bool discards_response = false;
  bool request_written = false;
  bool closes_after_response = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_CLIENT_CONNECTION_H_

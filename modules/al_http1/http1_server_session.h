#ifndef AL_HTTP1_HTTP1_SERVER_SESSION_H_
#define AL_HTTP1_HTTP1_SERVER_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_request_reader.h"
#include "al_http1/http1_server_options.h"
#include "al_http1/memory_account.h"
#include "al_net/tcp_connection.h"

namespace auburnloft {

class LoopTimer;

/** Limits of a server's sessions. May change while sessions are open. */
struct Http1SessionLimits {
  Http1RequestLimits request;

  /** From the first to the last byte of a header. */
  Duration header_timeout = std::chrono::seconds(3);

  /** Between two requests, and between two parts of a request body. Responses
     state four fifths of it, in whole seconds, as the time for which the
     connection may be reused, so that no request meets its close. */
  Duration idle_timeout = std::chrono::seconds(15);

  /** Whether to close each connection after its next response; set during
     shutdown. */
  bool closes_after_response = false;
};

/** The server side of one caller's connection. Reads one request at a time and
   writes its response before it reads the next request. While the caller does
   not take its responses, no further request is read; after the idle time-out
   the connection is closed.

    While a request is open, its handler calls Respond(), or StartResponse(),
   Send() and FinishResponse(), or Abort(). `on_disconnect` reports that the
   caller has closed the connection.

    Thread safety: none; use on the loop's thread.
*/
class Http1ServerSession
    : public std::enable_shared_from_this<Http1ServerSession> {
 public:
  using OnRequest =
      std::function<void(std::shared_ptr<Http1ServerSession>, Http1Request)>;
  using OnClosed = std::function<void(Http1ServerSession*)>;

  /** Callbacks while a request is open. */
  struct ExchangeCallbacks {
    std::function<void()> on_disconnect;  ///< The caller closed the connection.
    std::function<void()> on_flushed;     ///< unsent_bytes() fell to 0.
  };

  /** Takes ownership of an accepted socket. @pre `limits` outlives the session.
      @return null if the socket cannot be watched. */
  [[nodiscard]] static auto Open(
      SocketPoller& poller,
      int descriptor,
      const Http1SessionLimits& limits,
      OnRequest on_request,
      OnClosed on_closed,
      std::shared_ptr<const Http1ServerOptions> options)
      -> std::shared_ptr<Http1ServerSession>;

  ~Http1ServerSession();

  Http1ServerSession(const Http1ServerSession&) = delete;
  auto operator=(const Http1ServerSession&) -> Http1ServerSession& = delete;

  //============================================================================
  // Commands of the request handler. @pre is_serving().

  auto SetExchangeCallbacks(ExchangeCallbacks callbacks) -> void;

  /** Announces with the response, and closes the connection after it. @pre
     is_serving(), and the response has not started. */
  auto CloseAfterResponse() -> void;

  /** Sends a complete response. */
  auto Respond(const Http1ResponseHead& head, std::string_view body) -> void;

  /** Sends the head of a chunked response. */
  auto StartResponse(const Http1ResponseHead& head) -> void;

  /** Sends a part of the body as one chunk. @pre StartResponse() was called. */
  auto Send(std::string_view bytes) -> void;

  /** Ends the body. @pre StartResponse() was called. */
  auto FinishResponse() -> void;

  /** Closes the connection, so that the caller detects a truncated response. */
  auto Abort() -> void;

  //============================================================================
  // Commands of the server

  /** Closes the connection if it has been idle for at least `min_idle`. */
  auto CloseIfIdle(Duration min_idle) -> void;

  /** Closes the connection so that its memory becomes free. A request that has
     begun to arrive is refused with 503. @pre Rank() is not kProtected. */
  auto CloseForRoom(std::string_view limit) -> void;

  //============================================================================
  // Queries

  /** The connection, which outlives the session until its bytes are sent. */
  [[nodiscard]] auto tcp_connection() const -> std::weak_ptr<TcpConnection> {
    return this->connection;
  }
  /** Returns whether a request has begun to arrive, be it that the loop has not
     read it yet. Whoever closes the connection then has to answer it. Costs a
     system call. */
  [[nodiscard]] auto HasRequest() const -> bool;
  /** Returns whether input that the loop has not read yet may hold a request
     that is to be served; not while the caller takes no responses. Costs a
     system call. */
  [[nodiscard]] auto MayHaveArrivedRequest() const -> bool {
    return !this->waits_for_reader && this->connection->HasUnreadInput();
  }
  /** How soon the connection is closed if room is needed. */
  [[nodiscard]] auto Rank() -> MemoryRank;
  /** When the connection last took a step: bytes of a request, or a response
     that was taken. */
  [[nodiscard]] auto last_progress_at() const -> Instant {
    return this->charge.last_progress_at();
  }
  /** True if so many response bytes are unsent that no more should be made:
     fewer when memory is short. */
  [[nodiscard]] auto is_backlogged() const -> bool;
  /** Response bytes that the kernel has not accepted yet. */
  [[nodiscard]] auto unsent_bytes() const -> std::size_t;
  /** True while a request is open. */
  [[nodiscard]] auto is_serving() const -> bool {
    return this->state == State::kServing;
  }

 private:
  enum class State { kReading, kServing, kClosed };

  Http1ServerSession(SocketPoller& poller,
                     const Http1SessionLimits& limits,
                     OnRequest on_request,
                     OnClosed on_closed,
                     std::shared_ptr<const Http1ServerOptions> options);

  auto OnInput() -> void;
  auto OnFlushed() -> void;
  auto OnEnd() -> void;
  auto OnTimeout() -> void;
  auto Refuse(int status, std::string_view limit) -> void;
  auto Report(std::string_view limit) const -> void;
  /** Counts what the connection takes at present. */
  auto UpdateCharge() -> void;
  /** Sees that the account covers what has arrived.
     @return false if the session was closed or refused. */
  auto FindRoom() -> bool;
  /** Restarts the timer if the caller has taken response bytes since it was
     started. */
  auto RestartIfRead() -> bool;
  [[nodiscard]] auto RequestLimits() const -> Http1RequestLimits;
  auto StartReader() -> void;
  /** Bounds what a caller sends while its request is open: beyond the limit its
     further requests are dropped, none of which is executed, and the connection
     is closed after the response. */
  auto LimitInput() -> void;
  auto ReadNext() -> void;
  auto DeferReadNext() -> void;
  /** Decides whether the connection is kept after the response that begins, and
     for how long. */
  auto DecidePersistence() -> Http1Persistence;
  auto EndExchange() -> void;
  auto MarkClosed() -> void;

  SocketPoller& poller;
  const Http1SessionLimits& limits;
  OnRequest on_request;
  OnClosed on_closed;
  std::shared_ptr<TcpConnection> connection;
  std::shared_ptr<const Http1ServerOptions> options;
  std::unique_ptr<Http1RequestReader> reader;
  MemoryCharge charge;
  std::size_t open_request_bytes = 0;
  std::size_t dropped_bytes = 0;    ///< See LimitInput().
  std::size_t unsent_at_start = 0;  ///< When the timer was started.
  std::optional<bool> is_useful;    ///< The request that is being read.
  Instant body_since{};             ///< When the header was complete.
  std::unique_ptr<LoopTimer> timer;
  Instant idle_since{};
  Duration idle_timeout{0};  ///< As stated with the last response.
  ExchangeCallbacks exchange;
  State state = State::kReading;
  bool waits_for_reader = false;  ///< Until the caller has taken responses.
  bool caller_keeps_alive = true;
  bool is_head_request = false;
  bool sent_continue = false;
  bool closes = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_SESSION_H_

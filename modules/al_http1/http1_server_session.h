#ifndef AL_HTTP1_HTTP1_SERVER_SESSION_H_
#define AL_HTTP1_HTTP1_SERVER_SESSION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_request_reader.h"
#include "al_net/tcp_connection.h"

namespace auburnloft {

class LoopTimer;

/** What a server grants its callers; may change while sessions are open. */
struct Http1SessionLimits {
  Http1RequestLimits request;
  Duration header_timeout = std::chrono::seconds(3);  ///< First to last byte.
  Duration idle_timeout = std::chrono::seconds(15);   ///< Between requests.
  bool closes_after_response = false;  ///< Whether the server is shutting down.
};

/** One caller's connection: reads requests one by one, and writes the answer of
   each before it reads the next.

    While a request is open, its handler answers with Respond(), or with
   StartResponse(), Send() and FinishResponse(), or with Abort(). It learns by
   `on_disconnect` that the caller has left.

    Thread safety: none; used on the loop's thread.
*/
class Http1ServerSession
    : public std::enable_shared_from_this<Http1ServerSession> {
 public:
  using OnRequest =
      std::function<void(std::shared_ptr<Http1ServerSession>, Http1Request)>;
  using OnClosed = std::function<void(Http1ServerSession*)>;

  /** Calls while a request is open. */
  struct ExchangeCallbacks {
    std::function<void()> on_disconnect;  ///< The caller has closed.
    std::function<void()> on_flushed;     ///< unsent() fell to 0.
  };

  /** Takes an accepted socket over. @pre `limits` outlives the session.
      @return null where the socket cannot be watched. */
  [[nodiscard]] static auto Open(SocketPoller& poller,
                                 int descriptor,
                                 const Http1SessionLimits& limits,
                                 OnRequest on_request,
                                 OnClosed on_closed)
      -> std::shared_ptr<Http1ServerSession>;

  ~Http1ServerSession();

  Http1ServerSession(const Http1ServerSession&) = delete;
  auto operator=(const Http1ServerSession&) -> Http1ServerSession& = delete;

  //============================================================================
  // Commands of the request's handler. @pre a request is open.

  auto SetExchangeCallbacks(ExchangeCallbacks callbacks) -> void;

  /** Sends a whole answer. */
  auto Respond(const Http1ResponseHead& head, std::string_view body) -> void;

  /** Sends the head of an answer whose body follows in chunks. */
  auto StartResponse(const Http1ResponseHead& head) -> void;

  /** Sends a part of the body. @pre StartResponse() was called. */
  auto Send(std::string_view bytes) -> void;

  /** Ends the body. @pre StartResponse() was called. */
  auto FinishResponse() -> void;

  /** Closes the connection, so that an answer that has begun shows as broken.
   */
  auto Abort() -> void;

  //============================================================================
  // Commands of the server

  /** Closes the connection where no request has begun on it for `least`. */
  auto CloseIfIdle(Duration least) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto unsent_bytes() const -> std::size_t;
  [[nodiscard]] auto is_serving() const -> bool {
    return this->state == State::kServing;
  }

 private:
  enum class State { kReading, kServing, kClosed };

  Http1ServerSession(SocketPoller& poller,
                     const Http1SessionLimits& limits,
                     OnRequest on_request,
                     OnClosed on_closed);

  auto OnInput() -> void;
  auto OnEnd() -> void;
  auto OnTimeout() -> void;
  auto Refuse(int status) -> void;
  auto ReadNext() -> void;
  auto EndExchange() -> void;
  auto Closed() -> void;

  SocketPoller& poller;
  const Http1SessionLimits& limits;
  OnRequest requested;
  OnClosed closed;
  std::shared_ptr<TcpConnection> connection;
  std::unique_ptr<Http1RequestReader> reader;
  std::unique_ptr<LoopTimer> timer;
  Instant idle_since{};
  ExchangeCallbacks exchange;
  State state = State::kReading;
  bool caller_keeps_alive = true;
  bool is_head_request = false;
  bool sent_continue = false;
  bool closes = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_SESSION_H_

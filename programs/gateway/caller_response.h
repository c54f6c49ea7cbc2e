#ifndef GATEWAY_CALLER_RESPONSE_H_
#define GATEWAY_CALLER_RESPONSE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/routing/admission.h"
#include "al_http1/http1_server_session.h"

namespace auburnloft::gateway {

/** The single response to a caller: a complete response of an upstream, a
   stream of events, or a response that the router makes itself.

    Thread safety: none; used on the loop's thread.
*/
class CallerResponse {
 public:
  CallerResponse(std::shared_ptr<Http1ServerSession> session,
                 std::string attempt_id);

  CallerResponse(const CallerResponse&) = delete;
  auto operator=(const CallerResponse&) -> CallerResponse& = delete;

  //============================================================================
  // Commands

  /** Sets the callbacks for a closed connection of the caller and for an empty
      send buffer. */
  auto SetCallbacks(std::function<void()> on_disconnect,
                    std::function<void()> on_flushed) -> void;

  /** Removes the callbacks. */
  auto Release() -> void;

  /** Tells the caller to use another connection after this response. */
  auto CloseAfterResponse() -> void;

  /** Sends complete events; the first call sends `upstream_head` before them,
      without the fields that concern one connection only. */
  auto ForwardEvents(const Http1ResponseHead& upstream_head,
                     std::string_view events) -> void;

  /** Sends `rest` and ends a complete stream. @pre has_started(). */
  auto FinishStream(std::string_view rest) -> void;

  /** Closes the connection if the response has begun, else responds with 502.
   */
  auto Abort() -> void;

  /** Forwards a complete response of an upstream. */
  auto ForwardResponse(const Http1ResponseHead& upstream_head,
                       std::string_view body) -> void;

  /** Sends a response that the router makes itself. */
  auto SendLocalResponse(const LocalResponse& response) -> void;

  //============================================================================
  // Queries

  /** True once events were sent. */
  [[nodiscard]] auto has_started() const -> bool { return this->has_sent_head; }

  /** True if too many bytes are unsent: pause reading from the upstream. */
  [[nodiscard]] auto is_backlogged() const -> bool;

 private:
  std::shared_ptr<Http1ServerSession> session;
  std::string id;
  bool has_sent_head = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_CALLER_RESPONSE_H_

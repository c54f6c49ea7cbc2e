#ifndef GATEWAY_CALLER_ANSWER_H_
#define GATEWAY_CALLER_ANSWER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/routing/admission.h"
#include "al_http1/http1_server_session.h"

namespace auburnloft::gateway {

/** The one answer that a caller gets: whole, as a stream of events, or the
   router's own.

    Thread safety: none; used on the loop's thread.
*/
class CallerAnswer {
 public:
  CallerAnswer(std::shared_ptr<Http1ServerSession> session,
               std::string attempt_id);

  CallerAnswer(const CallerAnswer&) = delete;
  auto operator=(const CallerAnswer&) -> CallerAnswer& = delete;

  //============================================================================
  // Commands

  /** Called when the caller has left, and when it has taken what was sent. */
  auto SetCallbacks(std::function<void()> on_gone,
                    std::function<void()> on_drained) -> void;

  /** Drops the callbacks. */
  auto Release() -> void;

  /** Passes whole events on; the first call sends the head of `upstream_head`.
   */
  auto PassEvents(const Http1ResponseHead& upstream_head,
                  std::string_view events) -> void;

  /** Ends a stream that is complete. @pre has_started(). */
  auto FinishStream(std::string_view rest) -> void;

  /** Breaks off what has begun, or answers 502 where nothing has. */
  auto Break() -> void;

  /** Passes a whole answer of an upstream on. */
  auto Deliver(const Http1ResponseHead& upstream_head, std::string_view body)
      -> void;

  /** Answers for the router itself. */
  auto Own(const LocalResponse& answer) -> void;

  //============================================================================
  // Queries

  /** True once events were passed on. */
  [[nodiscard]] auto has_started() const -> bool { return this->started; }

  /** True where the caller takes less than comes: reading is to pause. */
  [[nodiscard]] auto is_behind() const -> bool;

 private:
  std::shared_ptr<Http1ServerSession> session;
  std::string id;
  bool started = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_CALLER_ANSWER_H_

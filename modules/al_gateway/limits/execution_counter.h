#ifndef AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_
#define AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

struct RouteRule;

/** Counts how often one request was sent to upstreams, and how often upstreams
   may have executed it.

    An attempt counts as executed unless the upstream states that it did not
    execute the request, or no byte left this machine. A refusal that promises
    that the request was not executed may be sent only if never_executed().

    Thread safety: none; used on one thread.
*/
class ExecutionCounter {
 public:
  //============================================================================
  // Commands

  /** Records a new attempt, which counts as executed for now. */
  auto RecordSent() -> void;

  /** Records that the upstream did not execute the last attempt.
      @pre RecordSent() was called for that attempt. */
  auto RecordNotExecuted() -> void;

  /** Records that no byte of the last attempt left this machine.
      @pre RecordSent() was called for that attempt. */
  auto RecordNotSent() -> void;

  //============================================================================
  // Queries

  /** Returns whether certainly no upstream executed the request. */
  [[nodiscard]] auto never_executed() const -> bool {
    return this->execution_count == 0;
  }
  /** Returns the number of attempts that left this machine. */
  [[nodiscard]] auto attempts() const -> int { return this->attempt_count; }
  /** Returns how often the request may have been executed. */
  [[nodiscard]] auto executions() const -> int { return this->execution_count; }

  /** Returns whether a request that may have been executed may be sent to be
     executed again. */
  [[nodiscard]] auto CanExecuteAgain(const RouteRule& route,
                                     Duration time_left) const -> bool;

  /** Returns whether a request that the last upstream did not execute may be
     sent to another upstream. */
  [[nodiscard]] auto CanRetryElsewhere(Duration time_left) const -> bool;

 private:
  int attempt_count = 0;
  int execution_count = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_

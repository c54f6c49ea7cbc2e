#ifndef AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_
#define AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

struct RouteRule;

/** How often one request was sent to upstreams, and how often it may have run.

    What was sent counts as run unless the upstream states that it did not run
    it, or no byte left this machine. A refusal that promises "not run" may be
    given only while never_executed() holds.

    Thread safety: none; used on one thread.
*/
class ExecutionCounter {
 public:
  //============================================================================
  // Commands

  auto RecordSent() -> void;

  /** The upstream stated that it did not run the last send.
      @pre RecordSent() was called for it. */
  auto RecordNotExecuted() -> void;

  /** Nothing of the last send left this machine.
      @pre RecordSent() was called for it. */
  auto RecordNotSent() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto never_executed() const -> bool {
    return this->run_count == 0;
  }
  [[nodiscard]] auto attempts() const -> int { return this->send_count; }
  [[nodiscard]] auto executions() const -> int { return this->run_count; }

  /** Whether a request that may have run may run once more. */
  [[nodiscard]] auto CanExecuteAgain(const RouteRule& route,
                                     Duration time_left) const -> bool;

  /** Whether a request that the last upstream did not run may go to another. */
  [[nodiscard]] auto CanRetryElsewhere(Duration time_left) const -> bool;

 private:
  int send_count = 0;
  int run_count = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_EXECUTION_COUNTER_H_

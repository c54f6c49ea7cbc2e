#ifndef AL_GATEWAY_LIMITS_RUN_COUNT_H_
#define AL_GATEWAY_LIMITS_RUN_COUNT_H_

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

struct RouteRule;

/** How often one request was sent to upstreams, and how often it may have run.

    What was sent counts as run unless the upstream states that it did not run
    it, or no byte left this machine. A refusal that promises "not run" may be
    given only while never_ran() holds.

    Thread safety: none; used on one thread.
*/
class RunCount {
 public:
  //============================================================================
  // Commands

  auto NoteSent() -> void;

  /** The upstream stated that it did not run the last send.
      @pre NoteSent() was called for it. */
  auto NoteNotRun() -> void;

  /** Nothing of the last send left this machine.
      @pre NoteSent() was called for it. */
  auto NoteNotSent() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto never_ran() const -> bool { return this->run_count == 0; }
  [[nodiscard]] auto sends() const -> int { return this->send_count; }
  [[nodiscard]] auto runs() const -> int { return this->run_count; }

  /** Whether a request that may have run may run once more. */
  [[nodiscard]] auto MayRunAgain(const RouteRule& route,
                                 Duration time_left) const -> bool;

  /** Whether a request that the last upstream did not run may go to another. */
  [[nodiscard]] auto MayGoElsewhere(Duration time_left) const -> bool;

 private:
  int send_count = 0;
  int run_count = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_RUN_COUNT_H_

#ifndef AL_GATEWAY_PROMPTS_PROMPT_REPORT_H_
#define AL_GATEWAY_PROMPTS_PROMPT_REPORT_H_

#include <string>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** What one router knows about prompt parts that crash upstreams, for the other
   routers. Points in time are those of the router that holds the report; the
   wire format carries ages instead, as the clocks of routers differ. */
struct PromptReport {
  /** An upstream ended a generation before its first event. */
  struct Failure {
    std::string upstream;            ///< Its id and start.
    std::vector<std::string> parts;  ///< Shared parts, in the prompt's order.
    Instant at{};

    auto operator==(const Failure&) const -> bool = default;
  };

  /** An upstream sent an event to a request with the part. */
  struct Success {
    std::string part;
    Instant at{};

    auto operator==(const Success&) const -> bool = default;
  };

  /** A part that is not sent to upstreams. */
  struct Quarantine {
    std::string part;
    Instant failed_at{};    ///< Of the last failure with the part.
    Instant ends_at{};      ///< When a trial may begin.
    int failed_trials = 0;  ///< Trials that ended in a failure.

    auto operator==(const Quarantine&) const -> bool = default;
  };

  std::string reporter;  ///< Incarnation of the router.
  std::vector<Failure> failures;
  std::vector<Success> successes;
  std::vector<Quarantine> quarantines;

  auto operator==(const PromptReport&) const -> bool = default;

  [[nodiscard]] auto empty() const -> bool {
    return this->failures.empty() && this->successes.empty() &&
           this->quarantines.empty();
  }
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PROMPTS_PROMPT_REPORT_H_

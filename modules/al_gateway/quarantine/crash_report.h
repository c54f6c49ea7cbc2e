#ifndef AL_GATEWAY_QUARANTINE_CRASH_REPORT_H_
#define AL_GATEWAY_QUARANTINE_CRASH_REPORT_H_

#include <string>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** What one router knows about requests that crash upstreams, for the other
   routers. Points in time are those of the router that holds the report; the
   wire format carries ages instead, as the clocks of routers differ. */
struct CrashReport {
  /** An upstream ended a request without an answer. */
  struct Failure {
    std::string upstream;  ///< Its id and start, and after an end that is not
                           ///< yet in its record, the number of ends.
    std::vector<std::string>
        suspects;  ///< From the most shared one to the least.
    Instant at{};
    Instant sent_at{};   ///< When the request was sent.
    std::string domain;  ///< Failure domain of the upstream; empty: unknown.

    auto operator==(const Failure&) const -> bool = default;
  };

  /** An upstream answered a request with the suspect. */
  struct Success {
    std::string suspect;
    Instant at{};

    auto operator==(const Success&) const -> bool = default;
  };

  /** A suspect that is not sent to upstreams. */
  struct Quarantine {
    std::string suspect;
    Instant failed_at{};  ///< Of the last failure with the suspect.
    Instant ends_at{};    ///< When a trial may begin.
    int trials = 0;       ///< That were sent and did not succeed.

    auto operator==(const Quarantine&) const -> bool = default;
  };

  std::string reporter;  ///< Incarnation of the router.
  std::vector<Failure> failures;
  std::vector<Success> successes;
  std::vector<Quarantine> quarantines;

  auto operator==(const CrashReport&) const -> bool = default;

  [[nodiscard]] auto empty() const -> bool {
    return this->failures.empty() && this->successes.empty() &&
           this->quarantines.empty();
  }
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_QUARANTINE_CRASH_REPORT_H_

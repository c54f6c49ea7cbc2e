#ifndef AL_GATEWAY_UPSTREAMS_REPORT_AGE_H_
#define AL_GATEWAY_UPSTREAMS_REPORT_AGE_H_

#include <algorithm>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Time after which a report about an engine has no weight: docs/design. */
inline constexpr Duration kReportLifetime = std::chrono::seconds(5);

/** Time for which a report has its full weight: two of the reports that come
   each 0.4 s are late or lost. */
inline constexpr Duration kReportFresh = std::chrono::seconds(1);

/** Returns the weight of a report of `at`: 1 while it is fresh, falling to 0 at
   kReportLifetime. The epoch stands for no report. */
[[nodiscard]] inline auto ReportWeight(Instant at, Instant now) -> double {
  return at == Instant()
             ? 0.0
             : std::clamp(ToSeconds(kReportLifetime - (now - at)) /
                              ToSeconds(kReportLifetime - kReportFresh),
                          0.0, 1.0);
}

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_REPORT_AGE_H_

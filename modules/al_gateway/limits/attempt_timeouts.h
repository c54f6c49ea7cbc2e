#ifndef AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_
#define AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_

#include "al_core/time/instant.h"
#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"

/** How long a request waits for what, from the objectives of its route. */
namespace auburnloft::gateway {

/** For an allowance of its team. */
[[nodiscard]] auto AllowanceTimeout(const RouteRule& route) -> Duration;

/** When a caller is to come back for whose request there was no allowance.

    Other callers' streams end within about a second and return what they did
    not use. While the log is away nothing else comes: an outage that has lasted
    for a while is taken to last about as long again.

    @param log_silent_for  since the log last answered this router.
    @param time_left       of the request; a third of it is the most. */
[[nodiscard]] auto AllowanceRetryAfter(Duration log_silent_for,
                                       Duration time_left) -> Duration;

/** For the first byte of an attempt that may be repeated elsewhere. */
[[nodiscard]] auto FirstByteTimeout(const RouteRule& route) -> Duration;

/** For the next event of a stream that may go on elsewhere. */
[[nodiscard]] auto NextEventTimeout(const RouteRule& route) -> Duration;

/** How long a stream may run until its last event, by the tokens it may have.
 */
[[nodiscard]] auto MaxStreamDuration(const RequestMetadata& facts) -> Duration;

/** For the first event of a stream that may be repeated, when no attempt is
   left: its caller is told then, and may send it again. */
[[nodiscard]] auto FirstEventTimeout(const RouteRule& route) -> Duration;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_

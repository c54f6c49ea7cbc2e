#ifndef AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_
#define AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_

#include "al_core/time/instant.h"
#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"

/** Timeouts of the steps of a request, derived from its route's objectives. */
namespace auburnloft::gateway {

/** Returns how long a request waits for tokens of its team's budget. */
[[nodiscard]] auto AllowanceTimeout(const RouteRule& route) -> Duration;

/** Returns the Retry-After time for a request that got no tokens.

    Streams of other callers end within about a second and release what they did
    not use. During an outage of the log service ("the log") there is no other
    source of tokens; the outage is expected to last about as long as it has
    lasted so far.

    @param log_silent_for  time since this router's last reply from the log.
    @param time_left       until the request's deadline. The result is at most a
                           third of it, but not less than the minimum. */
[[nodiscard]] auto AllowanceRetryAfter(Duration log_silent_for,
                                       Duration time_left) -> Duration;

/** Returns the timeout for the first byte of an attempt that another upstream
   may repeat. */
[[nodiscard]] auto FirstByteTimeout(const RouteRule& route) -> Duration;

/** Returns the timeout for the next event of a stream that another upstream may
   resume. */
[[nodiscard]] auto NextEventTimeout(const RouteRule& route) -> Duration;

/** Returns the maximum expected time of a stream until its last event, from the
   request's maximum output tokens.
    @param first_event  expected time until the first event.
    @param per_token    time per token at the slowest recent pace. */
[[nodiscard]] auto MaxStreamDuration(const RequestMetadata& request,
                                     Duration first_event,
                                     Duration per_token) -> Duration;

/** Returns the timeout for the first event of a repeatable stream that has no
   further attempt. Its caller then gets an error and may send it again. */
[[nodiscard]] auto FirstEventTimeout(const RouteRule& route) -> Duration;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_ATTEMPT_TIMEOUTS_H_

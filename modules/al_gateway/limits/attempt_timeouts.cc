#include "al_gateway/limits/attempt_timeouts.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** About an eighth of the latency objective, enough for several round trips to
   the log service ("the log"). A caller that is refused this early can still
   retry in time. */
constexpr double kAllowanceFraction = 0.12;

/** By then, streams that hold reservations have ended, or the log has confirmed
   an increase. */
constexpr Duration kMinAllowanceRetry = std::chrono::milliseconds(1'000);

/** After a longer wait, the caller's own deadline is more likely to have passed
   than the outage is to continue. */
constexpr Duration kMaxAllowanceRetry = std::chrono::milliseconds(5'000);

/** A caller is told to wait for at most 1/3 of its remaining time. */
constexpr int kTimeLeftDivisor = 3;

/** An attempt is replaced by another one after this multiple of the latency
   objective. The minimum, which also applies to the next event of a stream, is
   the longest usual processing time of a plain service. */
constexpr double kFirstByteMultiple = 1.5;
constexpr Duration kMinFirstByteTimeout = std::chrono::milliseconds(250);

/** Another upstream resumes a stream after this multiple of the maximum gap
   between events that still meets the objective. */
constexpr double kEventGapMultiple = 2.5;

/** Callers abandon a stream without an event after four times the latency
   objective, but not before two seconds. */
constexpr double kFirstEventMultiple = 4.0;
constexpr Duration kMinFirstEventTimeout = std::chrono::milliseconds(2'000);

/** Headroom of the expected duration of a stream: requests that other routers
   send meanwhile slow the engine down, and their prompts delay the first event.
 */
constexpr double kPaceHeadroom = 1.5;
constexpr Duration kFirstEventHeadroom = std::chrono::milliseconds(300);

auto Scaled(Duration duration, double factor) -> Duration {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

auto AllowanceTimeout(const RouteRule& route) -> Duration {
  return Scaled(route.latency_objective, kAllowanceFraction);
}

auto AllowanceRetryAfter(Duration log_silent_for, Duration time_left)
    -> Duration {
  const Duration retry_after =
      std::clamp(log_silent_for, kMinAllowanceRetry, kMaxAllowanceRetry);
  return std::min(retry_after,
                  std::max(kMinAllowanceRetry, time_left / kTimeLeftDivisor));
}

auto FirstByteTimeout(const RouteRule& route) -> Duration {
  return std::max(kMinFirstByteTimeout,
                  Scaled(route.latency_objective, kFirstByteMultiple));
}

auto NextEventTimeout(const RouteRule& route) -> Duration {
  return std::max(kMinFirstByteTimeout,
                  Scaled(route.event_gap_objective, kEventGapMultiple));
}

auto MaxStreamDuration(const RequestMetadata& request,
                       Duration first_event,
                       Duration per_token) -> Duration {
  const std::uint64_t tokens =
      request.generation ? request.generation->max_output_tokens : 0;
  return first_event + kFirstEventHeadroom +
         Scaled(per_token, kPaceHeadroom * static_cast<double>(tokens));
}

auto FirstEventTimeout(const RouteRule& route) -> Duration {
  return std::max(kMinFirstEventTimeout,
                  Scaled(route.latency_objective, kFirstEventMultiple));
}

}  // namespace auburnloft::gateway

#include "al_gateway/limits/attempt_timeouts.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** An eighth of the objective: some round trips to the log. A caller that is
   refused so early can come back in time. */
constexpr double kAllowancePart = 0.12;

/** When streams that hold reservations have ended, or the log has given more.
 */
constexpr Duration kLeastAllowanceRetry = std::chrono::milliseconds(1'000);

/** The most that a caller is told to stay away: later its own deadline is more
   likely to pass than the outage to last. */
constexpr Duration kMostAllowanceRetry = std::chrono::milliseconds(5'000);

/** Callers wait for a third of their time left at most. */
constexpr int kPartOfTimeLeft = 3;

/** An attempt is given up for another one after this multiple of the objective,
   but not before the least: the longest usual work of a plain service. */
constexpr double kFirstByteMultiple = 1.5;
constexpr Duration kLeastFirstByte = std::chrono::milliseconds(250);

/** A stream goes on elsewhere after this multiple of the longest pause that
   still counts as on time. */
constexpr double kPauseMultiple = 2.5;

/** Callers abandon a stream at four times the objective or two seconds. */
constexpr double kSilenceMultiple = 4.0;
constexpr Duration kLeastSilence = std::chrono::milliseconds(2'000);

/** An engine makes a token in some five milliseconds, and begins after the
   prompts that wait there. */
constexpr Duration kTimeOfToken = std::chrono::microseconds(5'500);
constexpr Duration kTimeToBegin = std::chrono::milliseconds(300);

auto Scaled(Duration duration, double factor) -> Duration {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

auto AllowanceTimeout(const RouteRule& route) -> Duration {
  return Scaled(route.latency_objective, kAllowancePart);
}

auto AllowanceRetryAfter(Duration log_silent_for, Duration time_left)
    -> Duration {
  const Duration wanted =
      std::clamp(log_silent_for, kLeastAllowanceRetry, kMostAllowanceRetry);
  return std::min(wanted,
                  std::max(kLeastAllowanceRetry, time_left / kPartOfTimeLeft));
}

auto FirstByteTimeout(const RouteRule& route) -> Duration {
  return std::max(kLeastFirstByte,
                  Scaled(route.latency_objective, kFirstByteMultiple));
}

auto NextEventTimeout(const RouteRule& route) -> Duration {
  return std::max(kLeastFirstByte,
                  Scaled(route.event_gap_objective, kPauseMultiple));
}

auto MaxStreamDuration(const RequestMetadata& facts) -> Duration {
  const std::uint64_t tokens =
      facts.generation ? facts.generation->max_output_tokens : 0;
  return kTimeToBegin + kTimeOfToken * static_cast<std::int64_t>(tokens);
}

auto FirstEventTimeout(const RouteRule& route) -> Duration {
  return std::max(kLeastSilence,
                  Scaled(route.latency_objective, kSilenceMultiple));
}

}  // namespace auburnloft::gateway

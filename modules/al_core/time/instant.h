#ifndef AL_CORE_TIME_INSTANT_H_
#define AL_CORE_TIME_INSTANT_H_

#include <chrono>
#include <cstdint>

namespace auburnloft {

/** A duration in microseconds. */
using Duration = std::chrono::microseconds;

/** The clock of the decision code, which receives the current time as an
   argument.

    There is no `now()`: a daemon converts its steady clock to this clock, and a
   test advances the time itself.
*/
struct VirtualClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<VirtualClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
  static constexpr bool is_steady = true;
};

/** A point in time, as microseconds since the Unix epoch. */
using Instant = VirtualClock::time_point;

/** Milliseconds since the Unix epoch, rounded toward zero: the format of
   records in the log service. */
[[nodiscard]] constexpr auto ToUnixMillis(Instant instant) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             instant.time_since_epoch())
      .count();
}

/** The point in time `millis` milliseconds after the Unix epoch. */
[[nodiscard]] constexpr auto FromUnixMillis(std::int64_t millis) -> Instant {
  return Instant(std::chrono::milliseconds(millis));
}

/** `duration` in seconds, with its fraction. */
[[nodiscard]] constexpr auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace auburnloft

#endif  // AL_CORE_TIME_INSTANT_H_

#ifndef AL_GATEWAY_UPSTREAMS_PACE_WINDOW_H_
#define AL_GATEWAY_UPSTREAMS_PACE_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Estimates a value from samples of the last 4.8 s that noise in single
   intervals of 600 ms raises.

    The samples of an interval share its noise, however many they are: only
   their median counts. The estimate is a low quantile of these medians, so that
   it follows a change in either direction within the window, and ignores raised
   intervals that are fewer than three quarters of it.

    Thread safety: none; used on one thread.
*/
class PaceWindow {
 public:
  /** Adds a sample. @param value  on a logarithmic scale. */
  auto Record(double value, Instant now) -> void;

  /** Returns the estimate; none from fewer than four intervals with samples.
   */
  [[nodiscard]] auto Estimate(Instant now) const -> std::optional<double>;

  /** Returns when the newest sample was added; the epoch if none was. */
  [[nodiscard]] auto newest_at() const -> Instant { return this->newest; }

 private:
  /** The time for which noise lasts at engines, as measured. */
  static constexpr Duration kInterval = std::chrono::milliseconds(600);
  /** The window is just below the 5 s after which a report has no weight. */
  static constexpr std::size_t kIntervals = 8;
  /** Of an interval with more samples the last ones count. */
  static constexpr std::size_t kSamples = 4;

  struct Interval {
    std::int64_t number = -1;  ///< Counted from the epoch; -1: unused.
    std::size_t count = 0;     ///< Samples added, also those replaced.
    std::array<float, kSamples> samples{};
  };

  static auto NumberOf(Instant now) -> std::int64_t {
    return now.time_since_epoch() / kInterval;
  }
  static auto MedianOf(const Interval& interval) -> double;

  std::array<Interval, kIntervals> intervals;
  Instant newest{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PACE_WINDOW_H_

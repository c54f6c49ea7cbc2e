#include "al_gateway/upstreams/pace_window.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** Four raised intervals in a row occur in 5 of 10,000 cases. */
constexpr std::size_t kMinIntervals = 4;

/** One in this many of the medians may be below the estimate, as an event may
   find its prompt cached unexpectedly. More than three quarters of four to
   eight intervals are raised in less than 5 of 10,000 windows. */
constexpr std::size_t kLowPart = 4;

}  // namespace

auto PaceWindow::Record(double value, Instant now) -> void {
  const std::int64_t number = NumberOf(now);
  Interval& interval =
      this->intervals.at(static_cast<std::size_t>(number) % kIntervals);
  if (interval.number != number) {
    interval = {number, 0, {}};
  }
  interval.samples.at(interval.count++ % kSamples) = static_cast<float>(value);
  this->newest = now;
}

auto PaceWindow::MedianOf(const Interval& interval) -> double {
  std::array<float, kSamples> sorted = interval.samples;
  const auto count = std::min(interval.count, kSamples);
  std::sort(sorted.begin(),
            sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return sorted.at((count - 1) / 2);
}

auto PaceWindow::Estimate(Instant now) const -> std::optional<double> {
  const std::int64_t current = NumberOf(now);
  std::array<double, kIntervals> medians{};
  std::size_t count = 0;
  for (const Interval& interval : this->intervals) {
    const std::int64_t age = current - interval.number;
    if (interval.number >= 0 && age >= 0 &&
        age < static_cast<std::int64_t>(kIntervals)) {
      medians.at(count++) = MedianOf(interval);
    }
  }
  if (count < kMinIntervals) {
    return std::nullopt;
  }
  const auto low =
      medians.begin() + static_cast<std::ptrdiff_t>((count - 1) / kLowPart);
  std::nth_element(medians.begin(), low,
                   medians.begin() + static_cast<std::ptrdiff_t>(count));
  return *low;
}

}  // namespace auburnloft::gateway

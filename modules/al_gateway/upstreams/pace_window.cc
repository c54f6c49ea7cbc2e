#include "al_gateway/upstreams/pace_window.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** With noise in 15 of 100 intervals, more than 70 of 100 of the window are
   raised in 1 of 4,000 windows. */
constexpr double kQuantile = 0.3;

/** Three raised intervals in a row occur in 3 of 1,000 cases, two in 22. */
constexpr std::size_t kMinIntervals = 3;

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
  std::array<std::pair<double, double>, kIntervals> medians;  // With weights.
  std::size_t count = 0;
  double total = 0.0;
  for (const Interval& interval : this->intervals) {
    const std::int64_t age = current - interval.number;
    if (interval.number < 0 || age < 0 ||
        age >= static_cast<std::int64_t>(kIntervals)) {
      continue;
    }
    const double weight = 1.0 - static_cast<double>(age) / kIntervals;
    medians.at(count++) = {MedianOf(interval), weight};
    total += weight;
  }
  if (count < kMinIntervals) {
    return std::nullopt;
  }
  const auto end = medians.begin() + static_cast<std::ptrdiff_t>(count);
  std::sort(medians.begin(), end);
  double sum = 0.0;
  for (auto item = medians.begin(); item != end; ++item) {
    sum += item->second;
    if (sum >= kQuantile * total) {
      return item->first;
    }
  }
  return std::prev(end)->first;
}

}  // namespace auburnloft::gateway

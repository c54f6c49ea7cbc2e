#include "al_gateway/upstreams/pace_meter.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** Longer than the usual stream, so that an engine in use has a recent pace. */
constexpr Duration kPeriod = std::chrono::seconds(5);

}  // namespace

auto PaceMeter::Record(Duration per_token, Instant now) -> void {
  if (now - this->newest.begins_at >= kPeriod) {
    this->before = this->newest;
    this->newest = {now, std::nullopt};
  }
  this->newest.slowest =
      std::max(this->newest.slowest.value_or(Duration(0)), per_token);
}

auto PaceMeter::SlowestPerToken(Instant now) const -> std::optional<Duration> {
  std::optional<Duration> slowest;
  for (const Period& period : {this->before, this->newest}) {
    if (period.slowest && now - period.begins_at < 2 * kPeriod) {
      slowest = std::max(slowest.value_or(Duration(0)), *period.slowest);
    }
  }
  return slowest;
}

}  // namespace auburnloft::gateway

#include "al_gateway/limits/fleet_retry_budget.h"

#include <algorithm>
#include <cassert>

namespace auburnloft::gateway {

namespace {

/** Fraction of its share that a router uses. The rest is a margin for the time
   in which routers count the fleet's members differently. */
constexpr double kUsedFraction = 0.7;

auto SecondOf(Instant now) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

}  // namespace

auto FleetRetryBudget::RecordRequest(std::string_view service, Instant now)
    -> void {
  ++this->CountersAt(service, now).requests;
}

auto FleetRetryBudget::TryTake(std::string_view service,
                               int routers,
                               Instant now) -> bool {
  assert(routers >= 1);
  Second& current = this->CountersAt(service, now);
  const std::int64_t first = SecondOf(now) - this->limits.window_seconds;
  int requests = 0;
  int retries = 0;
  for (const Second& second : this->windows[std::string(service)]) {
    if (second.number >= first) {
      requests += second.requests;
      retries += second.retries;
    }
  }
  const double share = kUsedFraction * (this->limits.ratio * requests +
                                        this->limits.extra_retries /
                                            static_cast<double>(routers));
  if (retries + 1 > share) {
    return false;
  }
  ++current.retries;
  return true;
}

auto FleetRetryBudget::CountersAt(std::string_view service, Instant now)
    -> Second& {
  const std::int64_t number = SecondOf(now);
  Second& second =
      this->windows[std::string(service)]
                   [static_cast<std::size_t>(number) % kMaxSeconds];
  if (second.number != number) {
    second = {number, 0, 0};
  }
  return second;
}

}  // namespace auburnloft::gateway

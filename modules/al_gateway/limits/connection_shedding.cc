#include "al_gateway/limits/connection_shedding.h"

namespace auburnloft::gateway {

namespace {

/** Multiple of the mean rate that a router bears without closing connections:
   with few callers for each router, chance alone causes twice the mean. */
constexpr double kMaxShare = 3.0;

/** Rate that any VM bears, in requests per second: a VM with an eighth of a
   core serves some hundred. */
constexpr double kMinRate = 15.0;

}  // namespace

auto ConnectionCloseFraction(double own_rate, double mean_rate) -> double {
  const double limit = kMaxShare * mean_rate;
  if (mean_rate <= 0.0 || own_rate <= kMinRate || own_rate <= limit) {
    return 0.0;
  }
  return 1.0 - limit / own_rate;
}

}  // namespace auburnloft::gateway

#include "al_gateway/admission/connection_share.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** Parts of an upstream's connections that are divided equally and by demand.
   The rest is headroom for routers whose view of the fleet is old: announced
   demand is up to some seconds old. */
constexpr double kEqualPart = 0.5;
constexpr double kDemandPart = 0.2;

}  // namespace

auto ConnectionShare(int max_connections, int routers, double load_ratio)
    -> int {
  // A router can't have more than the whole demand.
  const double ratio =
      std::clamp(load_ratio, 0.0, static_cast<double>(routers));
  const double share = max_connections * (kEqualPart + kDemandPart * ratio) /
                       std::max(1, routers);
  return std::max(1, static_cast<int>(share));
}

}  // namespace auburnloft::gateway

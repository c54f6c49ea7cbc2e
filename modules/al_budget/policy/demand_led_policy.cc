#include "al_budget/policy/demand_led_policy.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** A holder keeps at least room for this many of its largest requests, so that
   the first few requests of an idle team do not wait for a grant each. */
constexpr Tokens kRequestsInHand = 4;

/** A refill goes this part beyond the target, so that refills are some minutes
 * apart. */
constexpr Tokens kFillPart = 2;

/** A speculative grant takes at most this fraction of what is unallocated,
   divided by the number of routers that could ask next. */
constexpr Tokens kUnallocatedDivisor = 2;

}  // namespace

auto DemandLedPolicy::TargetAllowance(const HolderDemand& demand) const
    -> Tokens {
  const auto by_rate =
      static_cast<Tokens>(demand.tokens_per_second * ToSeconds(this->cover));
  return std::max(by_rate, kRequestsInHand * demand.max_reservation);
}

auto DemandLedPolicy::TokensToRequest(const HolderDemand& demand) const
    -> Tokens {
  const Tokens target = this->TargetAllowance(demand);
  const Tokens filled = target + target / kFillPart;
  if (demand.need > 0) {
    return std::max(demand.need, filled - demand.free);
  }
  return demand.free < target ? filled - demand.free : 0;
}

auto DemandLedPolicy::TokensToGrant(const GrantRequest& request) const
    -> Tokens {
  const auto routers =
      static_cast<Tokens>(std::max<std::size_t>(1, request.routers));
  const Tokens speculative =
      request.unallocated / (kUnallocatedDivisor * routers);
  const Tokens offered = std::max(speculative, request.need);
  return std::min({request.want, offered, request.unallocated});
}

}  // namespace auburnloft

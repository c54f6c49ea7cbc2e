#include "al_budget/policy/demand_led_policy.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** The target covers at least this many of the holder's largest requests, so
    that the first requests of an idle team do not each wait for a grant. */
constexpr Tokens kMinCoveredRequests = 4;

/** A refill fills the allowance to the target plus the target divided by this,
    so that refills are minutes apart. */
constexpr Tokens kRefillMarginDivisor = 2;

/** A grant beyond the holder's need is at most the unallocated tokens divided
    by this and by the number of routers, any of which could request tokens
    next. */
constexpr Tokens kUnallocatedDivisor = 2;

}  // namespace

auto DemandLedPolicy::TargetAllowance(const HolderDemand& demand) const
    -> Tokens {
  const auto by_rate =
      static_cast<Tokens>(demand.tokens_per_second * ToSeconds(this->cover));
  return std::max(by_rate, kMinCoveredRequests * demand.max_reservation);
}

auto DemandLedPolicy::TokensToRequest(const HolderDemand& demand) const
    -> Tokens {
  const Tokens target = this->TargetAllowance(demand);
  const Tokens refill_level = target + target / kRefillMarginDivisor;
  if (demand.need > 0) {
    return std::max(demand.need, refill_level - demand.free);
  }
  return demand.free < target ? refill_level - demand.free : 0;
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

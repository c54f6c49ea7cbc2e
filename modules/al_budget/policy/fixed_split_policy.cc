#include "al_budget/policy/fixed_split_policy.h"

#include <algorithm>
#include <limits>

namespace auburnloft {

namespace {

/** Requested to receive all of the share that remains: exceeds any share, and
   TokensToGrant() limits it. */
constexpr Tokens kWholeShare = std::numeric_limits<std::int32_t>::max();

}  // namespace

auto FixedSplitPolicy::TokensToRequest(const HolderDemand& demand) const
    -> Tokens {
  const bool holds_no_tokens = demand.free == 0 && demand.reserved == 0;
  return demand.need > 0 || holds_no_tokens ? kWholeShare : 0;
}

auto FixedSplitPolicy::TokensToGrant(const GrantRequest& request) const
    -> Tokens {
  const auto share =
      request.topped_up /
      static_cast<Tokens>(std::max<std::size_t>(1, request.routers));
  const Tokens remaining_share = std::max<Tokens>(0, share - request.received);
  return std::min({request.want, remaining_share, request.unallocated});
}

}  // namespace auburnloft

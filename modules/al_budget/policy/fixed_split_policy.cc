#include "al_budget/policy/fixed_split_policy.h"

#include <algorithm>
#include <limits>

namespace auburnloft {

auto FixedSplitPolicy::TokensToRequest(const HolderDemand& demand) const
    -> Tokens {
  const bool has_none = demand.free == 0 && demand.reserved == 0;
  return demand.need > 0 || has_none ? std::numeric_limits<std::int32_t>::max()
                                     : 0;
}

auto FixedSplitPolicy::TokensToGrant(const GrantRequest& request) const
    -> Tokens {
  const auto share =
      request.topped_up /
      static_cast<Tokens>(std::max<std::size_t>(1, request.routers));
  const Tokens left_of_share = std::max<Tokens>(0, share - request.received);
  return std::min({request.want, left_of_share, request.unallocated});
}

}  // namespace auburnloft

#include "al_budget/policy/fixed_chunk_policy.h"

#include <algorithm>

namespace auburnloft {

auto FixedChunkPolicy::TokensToRequest(const HolderDemand& demand) const
    -> Tokens {
  const bool low = demand.free < this->chunk / 2;
  return demand.need > 0 || low ? std::max(this->chunk, demand.need) : 0;
}

auto FixedChunkPolicy::TokensToGrant(const GrantRequest& request) const
    -> Tokens {
  return std::min(request.want, request.unallocated);
}

}  // namespace auburnloft

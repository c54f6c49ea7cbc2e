#ifndef AL_BUDGET_POLICY_ALLOWANCE_POLICY_H_
#define AL_BUDGET_POLICY_ALLOWANCE_POLICY_H_

#include <concepts>
#include <cstddef>
#include <variant>

#include "al_budget/policy/demand_led_policy.h"
#include "al_budget/policy/fixed_chunk_policy.h"
#include "al_budget/policy/fixed_split_policy.h"
#include "al_budget/policy/policy_inputs.h"

namespace auburnloft {

/** Determines the size of allowances.

    - TokensToRequest(): the tokens that a holder requests from the keeper,
      given its demand. At least `need` if `need` > 0; 0 requests nothing.
    - TokensToGrant(): the tokens that the keeper grants for a request. At most
      `unallocated`.
    - allows_transfers(): whether holders may transfer tokens to each other.
*/
template <typename Policy>
concept AllowancePolicy = requires(const Policy& policy,
                                   const HolderDemand& demand,
                                   const GrantRequest& request) {
  { policy.TokensToRequest(demand) } -> std::same_as<Tokens>;
  { policy.TokensToGrant(request) } -> std::same_as<Tokens>;
  { policy.allows_transfers() } -> std::same_as<bool>;
};

static_assert(AllowancePolicy<FixedSplitPolicy>);
static_assert(AllowancePolicy<FixedChunkPolicy>);
static_assert(AllowancePolicy<DemandLedPolicy>);

/** Any of the policies; the configuration selects one. */
using AnyAllowancePolicy =
    std::variant<DemandLedPolicy, FixedChunkPolicy, FixedSplitPolicy>;

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_ALLOWANCE_POLICY_H_

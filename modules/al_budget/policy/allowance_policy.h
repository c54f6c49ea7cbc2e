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

/** Decides the size of allowances.

    - TokensToRequest(): what a holder asks for, above `need`, given its demand;
   0 asks for nothing.
    - TokensToGrant(): what the keeper grants of a request. At most
   `unallocated`.
    - transfers(): whether holders move tokens to each other.
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

/** Any of the policies, chosen by configuration. */
using AnyAllowancePolicy =
    std::variant<DemandLedPolicy, FixedChunkPolicy, FixedSplitPolicy>;

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_ALLOWANCE_POLICY_H_

#ifndef AL_BUDGET_POLICY_FIXED_SPLIT_POLICY_H_
#define AL_BUDGET_POLICY_FIXED_SPLIT_POLICY_H_

#include "al_budget/policy/policy_inputs.h"

namespace auburnloft {

/** Splits each budget evenly over the routers. Serves as the baseline for
    comparisons.

    A holder never receives more than its share of all top-ups, whatever its
    demand.
*/
class FixedSplitPolicy {
 public:
  [[nodiscard]] auto TokensToRequest(const HolderDemand& demand) const
      -> Tokens;
  [[nodiscard]] auto TokensToGrant(const GrantRequest& request) const -> Tokens;
  [[nodiscard]] auto allows_transfers() const -> bool { return false; }
};

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_FIXED_SPLIT_POLICY_H_

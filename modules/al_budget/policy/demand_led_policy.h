#ifndef AL_BUDGET_POLICY_DEMAND_LED_POLICY_H_
#define AL_BUDGET_POLICY_DEMAND_LED_POLICY_H_

#include "al_budget/policy/policy_inputs.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** Sizes allowances by the holder's demand, and shrinks them as the budget runs
   low.

    A holder asks for half as much again as it spends in `cover`, and once more
   when it holds less than `cover` needs: it can go on for at least that long
   without the log. The keeper grants at most a fraction of what is unallocated,
   so that the last tokens are not taken by one holder while another needs them;
   a holder whose requests wait gets its need in full where the budget has it.

    `cover` is the one setting between users: a long one rides out a long
   partition, a short one leaves fewer tokens with a router that dies.
*/
class DemandLedPolicy {
 public:
  /** @param cover      how long an allowance lasts at the present rate, at
     least; > 0.
      @param transfers  whether holders move tokens to each other. */
  DemandLedPolicy(Duration cover, bool allows_transfers)
      : cover(cover), transfers_allowed(allows_transfers) {}

  [[nodiscard]] auto TokensToRequest(const HolderDemand& demand) const
      -> Tokens;
  [[nodiscard]] auto TokensToGrant(const GrantRequest& request) const -> Tokens;
  [[nodiscard]] auto allows_transfers() const -> bool {
    return this->transfers_allowed;
  }

 private:
  [[nodiscard]] auto TargetAllowance(const HolderDemand& demand) const
      -> Tokens;

  Duration cover;
  bool transfers_allowed;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_DEMAND_LED_POLICY_H_

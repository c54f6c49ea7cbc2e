#ifndef AL_BUDGET_POLICY_DEMAND_LED_POLICY_H_
#define AL_BUDGET_POLICY_DEMAND_LED_POLICY_H_

#include "al_budget/policy/policy_inputs.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** Sizes allowances by the holder's demand, and grants less as the budget runs
    low.

    A holder's target is what it spends in `cover`. When its free tokens fall
    below the target, it requests enough for one and a half times the target, so
    it can continue for about `cover` without the log service. The keeper limits
    a grant to a fraction of the unallocated tokens, so that one holder does not
    take the last tokens while another needs them. A holder whose requests are
    waiting gets its need in full if the budget has enough.

    Choosing `cover` is a trade-off: a long one lets routers work through a long
    network partition, a short one leaves fewer tokens with a router that fails.
*/
class DemandLedPolicy {
 public:
  /** @param cover  how long an allowance should last at the present rate of
      spending; > 0.
      @param transfers_allowed  whether holders may transfer tokens to each
      other. */
  DemandLedPolicy(Duration cover, bool transfers_allowed)
      : cover(cover), transfers_allowed(transfers_allowed) {}

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

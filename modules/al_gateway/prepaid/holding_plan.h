#ifndef AL_GATEWAY_PREPAID_HOLDING_PLAN_H_
#define AL_GATEWAY_PREPAID_HOLDING_PLAN_H_

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** How large a router's allowances are planned. */
struct AllowanceSizing {
  /** Length of an outage of the log service for which the allowances cover
     the demand. */
  Duration outage_coverage = std::chrono::seconds(5);

  /** Minimum reserve as a share of a team's remaining budget, 0 to 1. It covers
     demand that is not reported yet or that moves to other routers. */
  double min_reserve_share = 0.2;

  /** Seconds of its own demand that a router holds at most, out of the reserve.
     More helps where routers are cut off from each other too, and costs where
     only the log is out of reach: the reserve holders can share what they have.
   */
  Duration held_demand = std::chrono::seconds(8);
};

/** A team's demand, by the ledger. Rates are in tokens per second. */
struct TeamDemand {
  double remaining_tokens = 0.0;  ///< Of the budget.
  double all = 0.0;               ///< Of all routers.
  double steady = 0.0;  ///< The part of routers that take tokens for it by
                        ///< their own entries.
  double ahead = 0.0;  ///< The part of routers that get tokens for it ahead, by
                       ///< transfers.
};

/** What the routers together plan to hold of a team's budget. */
struct HoldingPlan {
  double own_seconds = 0.0;  ///< Of its own steady demand that a router holds.
  double ahead_seconds = 0.0;   ///< Of its own demand that a router with rare
                                ///< requests gets ahead.
  double reserve_tokens = 0.0;  ///< That the reserve holders share.
};

/** Divides what the routers hold of a team's budget between those with steady
   demand and the holders of the reserve.

    What is held is lost to the team if all routers lose power, so the sum does
   not depend on how it is divided: it is what the reserve alone would be, and
   one second of the steady demand. The more of the demand is steady at its
   routers, the more of the sum is there, where a router that is cut off from
   the others can spend it. All routers calculate the same from the ledger and
   need no message to agree.

    Thread safety: a pure function.
*/
[[nodiscard]] auto PlanHoldings(const AllowanceSizing& sizing,
                                const TeamDemand& demand) -> HoldingPlan;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_HOLDING_PLAN_H_

#include "al_gateway/prepaid/holding_plan.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** Maximum share of a team's remaining budget that the routers hold as its
   reserve, which is lost if all of them lose power. A team that would spend the
   rest of its budget within a few outages gains nothing from a larger reserve:
   what an outage delays is spent after it. */
constexpr double kMaxReserveShare = 0.3;

/** Seconds of its own steady demand that a router holds in any case: the time
   in which an increase becomes spendable. */
constexpr double kMinOwnSeconds = 1.0;

/** Share of the reserve that stays with its holders, for demand that is not
   steady anywhere or that moves. */
constexpr double kMinPooledShare = 0.25;

/** What a router holds for its steady demand in the mean, relative to its plan:
   it returns nothing below 1.25 times the plan. */
constexpr double kMeanHoldRatio = 1.05;

}  // namespace

auto PlanHoldings(const AllowanceSizing& sizing, const TeamDemand& demand)
    -> HoldingPlan {
  const double outage_demand =
      std::min(demand.all * ToSeconds(sizing.outage_coverage),
               demand.remaining_tokens * kMaxReserveShare);
  const double reserve = std::max(
      outage_demand, demand.remaining_tokens * sizing.min_reserve_share);
  const double max_own_seconds = ToSeconds(sizing.held_demand);
  const double movable = (1.0 - kMinPooledShare) * reserve / kMeanHoldRatio;
  // Whether a router gets tokens ahead depends on the seconds, so these must
  // not depend on how many do.
  const double ahead_seconds =
      std::min(max_own_seconds, movable / std::max(1.0, demand.all));
  const double for_ahead = std::min(movable, ahead_seconds * demand.ahead);
  const double extra_seconds =
      std::min(std::max(0.0, max_own_seconds - kMinOwnSeconds),
               (movable - for_ahead) / std::max(1.0, demand.steady));
  return {
      kMinOwnSeconds + extra_seconds, ahead_seconds,
      reserve - kMeanHoldRatio * (extra_seconds * demand.steady + for_ahead)};
}

}  // namespace auburnloft::gateway

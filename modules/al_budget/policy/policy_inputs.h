#ifndef AL_BUDGET_POLICY_POLICY_INPUTS_H_
#define AL_BUDGET_POLICY_POLICY_INPUTS_H_

#include <cstddef>

#include "al_core/ids/ids.h"

namespace auburnloft {

/** What a holder knows when it decides whether to ask for tokens. */
struct HolderDemand {
  Tokens free = 0;                 ///< In hand and not reserved.
  Tokens reserved = 0;             ///< For requests that are running.
  Tokens need = 0;                 ///< Short of what waiting requests reserve.
  double tokens_per_second = 0.0;  ///< Smoothed rate of spending.
  Tokens max_reservation = 0;      ///< Of a request, recently.
};

/** What a keeper knows when it answers a request for tokens. */
struct GrantRequest {
  Tokens want = 0;
  Tokens need = 0;          ///< The least that helps the holder; may be 0.
  Tokens unallocated = 0;   ///< Left in the budget.
  Tokens topped_up = 0;     ///< All top-ups so far.
  Tokens received = 0;      ///< By this holder, cumulative.
  std::size_t routers = 1;  ///< In the fleet.
};

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_POLICY_INPUTS_H_

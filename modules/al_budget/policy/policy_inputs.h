#ifndef AL_BUDGET_POLICY_POLICY_INPUTS_H_
#define AL_BUDGET_POLICY_POLICY_INPUTS_H_

#include <cstddef>

#include "al_core/ids/ids.h"

namespace auburnloft {

/** The holder's state from which it determines how many tokens to request. */
struct HolderDemand {
  Tokens free = 0;      ///< Held and not reserved.
  Tokens reserved = 0;  ///< For requests in progress.
  Tokens need = 0;  ///< Tokens that waiting requests need beyond the free ones.
  double tokens_per_second = 0.0;  ///< Moving average of the rate of spending.
  Tokens max_reservation = 0;      ///< Largest reservation requested so far.
};

/** What a keeper takes into account when it grants tokens. */
struct GrantRequest {
  Tokens want = 0;
  Tokens need = 0;         ///< The holder's HolderDemand::need; may be 0.
  Tokens unallocated = 0;  ///< Not allocated to any holder.
  Tokens topped_up = 0;    ///< Sum of all top-ups.
  Tokens received = 0;  ///< Sum of this holder's grants and incoming transfers,
                        ///< minus returns.
  std::size_t routers = 1;  ///< Number of routers in the fleet.
};

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_POLICY_INPUTS_H_

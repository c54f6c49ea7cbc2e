#ifndef AL_LEDGER_FOLD_LEDGER_RULES_H_
#define AL_LEDGER_FOLD_LEDGER_RULES_H_

#include <chrono>

#include "al_core/time/instant.h"

namespace auburnloft {

/** Constants of the ledger's replay. All readers of a stream must use the same
    values.
 */
struct LedgerRules {
  /** A bill for a request that was issued earlier than this before the ledger's
      clock is rejected, because the ledger no longer stores the keys of such
      requests. Six hours exceeds the longest network partition that budgets are
      sized for. */
  Duration bill_horizon = std::chrono::hours(6);

  /** A claim for a request that was issued earlier than this before the
      ledger's clock is rejected. A day covers the working day in which a caller
      might still repeat a payout or a booking. */
  Duration claim_horizon = std::chrono::hours(24);
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_LEDGER_RULES_H_

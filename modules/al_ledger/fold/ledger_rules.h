#ifndef AL_LEDGER_FOLD_LEDGER_RULES_H_
#define AL_LEDGER_FOLD_LEDGER_RULES_H_

#include <chrono>

#include "al_core/time/instant.h"

namespace auburnloft {

/** The constants of the fold. All readers of a stream must use the same ones.
 */
struct LedgerRules {
  /** Bills of requests issued earlier than this are void: their keys are
     forgotten. Six hours outlast the longest partition that a budget is sized
     for. */
  Duration bill_horizon = std::chrono::hours(6);

  /** Claims of requests issued earlier than this are void. A day covers the
     working day in which a caller would still repeat a payout or a booking. */
  Duration claim_horizon = std::chrono::hours(24);
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_LEDGER_RULES_H_

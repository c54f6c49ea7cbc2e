#ifndef AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_
#define AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_

#include <cstdint>

#include "al_budget/policy/allowance_policy.h"
#include "al_core/time/instant.h"
#include "al_ledger/fold/ledger_rules.h"

namespace auburnloft {

/** How a keeper works. */
struct KeeperSettings {
  /** Two appends of one partition are at least this far apart: the partitions
     together stay under the log's rate. */
  Duration commit_interval = std::chrono::milliseconds(50);

  /** A snapshot is written after this many records at the latest: well before
     the log forgets them. */
  std::uint64_t snapshot_every = 2000;

  LedgerRules rules;
  AnyAllowancePolicy policy = DemandLedPolicy(std::chrono::minutes(10), true);
  std::size_t routers = 1;  ///< In the fleet, for the policy.
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_

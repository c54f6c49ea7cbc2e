#ifndef AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_
#define AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_

#include <cstdint>

#include "al_budget/policy/allowance_policy.h"
#include "al_core/time/instant.h"
#include "al_ledger/fold/ledger_rules.h"

namespace auburnloft {

/** Settings of a keeper, the leader of a ledger partition. */
struct KeeperSettings {
  /** The minimum interval between two appends to one partition. It keeps all
      partitions together below the log service's maximum append rate. */
  Duration commit_interval = std::chrono::milliseconds(50);

  /** The maximum number of records between two snapshots: much less than the
      log service retains. */
  std::uint64_t snapshot_every = 2000;

  LedgerRules rules;
  AnyAllowancePolicy policy = DemandLedPolicy(std::chrono::minutes(10), true);
  std::size_t routers = 1;  ///< Number of routers in the fleet, for the policy.
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_KEEPER_SETTINGS_H_

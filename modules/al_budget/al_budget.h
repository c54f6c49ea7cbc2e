/** Module al_budget: how routers obtain tokens of prepaid budgets, spend them
    and bill them.

    A router spends only tokens of its allowance, which a valid ledger record
    has moved out of the team's budget to this router, the holder. The keeper of
    a ledger partition is the partition's leader: it receives entries from
    routers and appends them to the log service.

    Depends on: al_core, al_ledger, al_actions.

    Parts:
    - policy/      AllowancePolicy: how many tokens a router requests and a
                   keeper grants
    - allowance/   AllowanceTable, BudgetCoordinator, TransferManager:
                   reserving, billing and transferring tokens at the holder
    - outbox/      EntryOutbox: entries that are sent to keepers until a verdict
                   arrives
    - keeper/      PartitionKeeper, KeeperHost, KeeperDirectory, ReclaimManager:
                   appending entries to the ledger, and finding its keepers
    - witness/     WitnessManager, DrawLimitManager: replicas of unrecorded
                   bills and of draw limits at other routers
*/
#ifndef AL_BUDGET_AL_BUDGET_H_
#define AL_BUDGET_AL_BUDGET_H_

#include "al_budget/allowance/allowance_table.h"
#include "al_budget/allowance/budget_coordinator.h"
#include "al_budget/keeper/keeper_directory.h"
#include "al_budget/keeper/keeper_host.h"
#include "al_budget/keeper/partition_keeper.h"
#include "al_budget/keeper/reclaim_manager.h"
#include "al_budget/outbox/entry_outbox.h"
#include "al_budget/policy/allowance_policy.h"
#include "al_budget/witness/draw_limit_manager.h"
#include "al_budget/witness/witness_manager.h"

#endif  // AL_BUDGET_AL_BUDGET_H_

/** Module al_budget: how routers come by tokens, spend them and account for
   them.

    A router spends only tokens of its allowance, which a valid ledger record
   moved out of the team's budget. The keeper of a ledger partition turns what
   routers submit into records.

    Depends on: al_core, al_ledger, al_actions.

    Parts:
    - policy/      how much a router asks for and how much a keeper grants
    - allowance/   AllowanceTable and BudgetCoordinator: the holder's side
    - outbox/      EntryOutbox: entries on their way to a keeper, resent until
   answered
    - keeper/      PartitionKeeper, KeeperHost, KeeperDirectory: the keeper's
   side
    - witness/     WitnessManager: copies of unrecorded bills at a second router
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

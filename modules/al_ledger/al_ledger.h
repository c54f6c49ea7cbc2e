/** Module al_ledger: the ledger of prepaid budgets as a fold over streams of
   the log.

    The ledger is cut into partitions by team. Each partition is one stream, and
   its state is a pure function of the stream's records: every reader that has
   read as far holds the same state. A record that is not valid at its place is
   void for every reader.

    Depends on: al_core, protobuf (records).

    Parts:
    - fold/      TeamAccount, TeamClaims, PartitionLedger: the fold itself
    - records/   the placement of teams on partitions and the making of records
*/
#ifndef AL_LEDGER_AL_LEDGER_H_
#define AL_LEDGER_AL_LEDGER_H_

#include "al_ledger/fold/ledger_rules.h"
#include "al_ledger/fold/partition_ledger.h"
#include "al_ledger/fold/team_account.h"
#include "al_ledger/fold/team_claims.h"
#include "al_ledger/records/partition_map.h"

#endif  // AL_LEDGER_AL_LEDGER_H_

/** Module al_ledger: the ledger of prepaid budgets, replayed from streams of
    the log service.

    The ledger is partitioned by team. Each partition is one stream, and its
    state is a fold over the stream's records: it depends on nothing but these
    records and their order. All readers that have read up to the same offset
    therefore hold the same state. A record that is not valid at its offset has
    no effect for any reader.

    Depends on: al_core, protobuf (records).

    Parts:
    - fold/      TeamAccount, TeamClaims, PartitionLedger: replay of the records
    - records/   PartitionMap: which partition and stream hold a team's records
*/
#ifndef AL_LEDGER_AL_LEDGER_H_
#define AL_LEDGER_AL_LEDGER_H_

#include "al_ledger/fold/ledger_rules.h"
#include "al_ledger/fold/partition_ledger.h"
#include "al_ledger/fold/team_account.h"
#include "al_ledger/fold/team_claims.h"
#include "al_ledger/records/partition_map.h"

#endif  // AL_LEDGER_AL_LEDGER_H_

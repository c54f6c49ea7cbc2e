#ifndef AL_LEDGER_FOLD_PARTITION_LEDGER_H_
#define AL_LEDGER_FOLD_PARTITION_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_ledger/fold/ledger_rules.h"
#include "al_ledger/fold/team_account.h"
#include "al_ledger/fold/team_claims.h"
#include "ledger.pb.h"
#include "peer.pb.h"

namespace auburnloft {

/** Why a whole record has no effect. */
enum class BatchRejection {
  kNone,        ///< The record is valid.
  kUnreadable,  ///< The bytes do not parse as a LedgerBatch.
  kStaleEpoch,  ///< The writer is not the keeper of the current epoch.
  kRepeated,    ///< The record was appended twice; the first copy took effect.
  kOutOfOrder,  ///< An earlier record of the same writer is missing.
  kLostTakeOver,  ///< Another router's take-over record started this epoch
                  ///< first.
  kMisplaced,     ///< A snapshot whose stated offset is not its own.
  kNoState,       ///< The reader has not read a snapshot yet.
};

/** The result of applying one record. */
struct BatchResult {
  BatchRejection rejection = BatchRejection::kNone;
  std::vector<wire::EntryVerdict>
      verdicts;  ///< One per entry, in the order of the entries.
};

/** One partition of the ledger: the state after replaying the records of its
    stream in the log service.

    Pass in every record from offset 0, or from any offset at which a snapshot
    is stored. Apply() takes records in the order of their offsets, and every
    reader has the same state after the same record. Fencing is part of the
    replay: a take-over record starts the next epoch, and records that an
    earlier epoch's keeper (the partition's leader) appends after it are
    rejected. The replay reads no system clock: the ledger's clock is the latest
    time written in a record.

    Thread safety: none; used on one thread.

    @see TeamAccount, TeamClaims, PartitionKeeper
*/
class PartitionLedger {
 public:
  struct Team {
    TeamAccount account;
    TeamClaims claims;
  };
  using Teams = std::map<TeamId, Team, std::less<>>;

  explicit PartitionLedger(LedgerRules rules = {}) : rules(rules) {}

  //============================================================================
  // Commands

  /** Resets the ledger for a stream whose oldest available record is at
      `oldest`. If `oldest` > 0, records have no effect until a snapshot is
      read. */
  auto StartAt(LogOffset oldest) -> void;

  /** Applies the record at next_offset(). @param bytes  a serialized
      LedgerBatch. */
  auto ApplyBytes(std::string_view bytes) -> BatchResult;

  /** Applies the record at next_offset(). */
  auto Apply(const wire::LedgerBatch& batch) -> BatchResult;

  //============================================================================
  // Queries

  /** True if the state is complete; false after StartAt() with an offset above
      0, until a snapshot has been read. */
  [[nodiscard]] auto ready() const -> bool { return this->has_state; }
  [[nodiscard]] auto next_offset() const -> LogOffset { return this->next; }
  [[nodiscard]] auto epoch() const -> std::uint64_t {
    return this->keeper_epoch;
  }
  [[nodiscard]] auto keeper() const -> const IncarnationId& {
    return this->keeper_id;
  }
  [[nodiscard]] auto keeper_address() const -> const std::string& {
    return this->address;
  }
  [[nodiscard]] auto last_seq() const -> std::uint64_t {
    return this->writer_seq;
  }
  [[nodiscard]] auto clock_ms() const -> std::int64_t { return this->clock; }
  [[nodiscard]] auto teams() const -> const Teams& { return this->all_teams; }

  /** The state of `team`, or null if the ledger has none. Valid until the next
      command. */
  [[nodiscard]] auto Find(const TeamId& team) const -> const Team*;

  /** True if topped up = billed + allowances + unallocated for every team, and
      none of these is negative. */
  [[nodiscard]] auto AreTotalsConsistent() const -> bool;

  /** The complete state, for a snapshot record that is valid at next_offset()
      only. */
  [[nodiscard]] auto ToSnapshot() const -> wire::LedgerSnapshot;

 private:
  auto ApplyTakeOver(const wire::LedgerBatch& batch) -> BatchRejection;
  auto ApplySnapshot(const wire::LedgerSnapshot& snapshot) -> BatchRejection;
  [[nodiscard]] auto CheckWriter(const wire::LedgerBatch& batch) const
      -> BatchRejection;
  auto ApplyEntry(const wire::LedgerEntry& entry, bool by_operator)
      -> wire::EntryVerdict;
  auto ApplyToTeam(const wire::LedgerEntry& entry, Team& team)
      -> wire::EntryVerdict;
  auto AdvanceClock(std::int64_t written_at_ms) -> void;
  auto TeamOf(const wire::LedgerEntry& entry) -> Team*;

  LedgerRules rules;
  bool has_state = true;
  LogOffset next = 0;
  std::uint64_t keeper_epoch = 0;
  std::uint64_t writer_seq = 0;
  std::int64_t clock = 0;
  IncarnationId keeper_id;
  std::string address;
  Teams all_teams;
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_PARTITION_LEDGER_H_

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

/** Why a whole record has no effect at its place. */
enum class BatchRejection {
  kNone,          ///< The record is valid.
  kUnreadable,    ///< Its bytes are no record.
  kStaleEpoch,    ///< Its writer is no longer the keeper.
  kRepeated,      ///< It was appended twice; the first one counted.
  kOutOfOrder,    ///< A record of the same writer is missing before it.
  kLostTakeOver,  ///< Another take-over of the same epoch came first.
  kMisplaced,  ///< A snapshot that does not stand at the offset that it states.
  kNoState,    ///< The reader has not met a snapshot yet.
};

/** What a record did to the ledger. */
struct BatchResult {
  BatchRejection rejection = BatchRejection::kNone;
  std::vector<wire::EntryVerdict> verdicts;  ///< One an entry, in its order.
};

/** One partition of the ledger: the fold over the records of its stream.

    Feed it every record from offset 0, or from any offset at which a snapshot
   stands. Records are applied by Apply() in the order of their offsets; the
   state after a record is the same for every reader. Fencing is part of the
   fold: a take-over record starts the next epoch and voids whatever an earlier
   epoch's keeper appends after it. No clock is read: the ledger's time is the
   latest time that a record states.

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

  /** Prepares for a stream whose oldest record left is at `oldest` > 0: records
     have no effect until a snapshot is met. */
  auto StartAt(LogOffset oldest) -> void;

  /** Applies the record at next_offset().  @param bytes  a serialized
   * LedgerBatch. */
  auto ApplyBytes(std::string_view bytes) -> BatchResult;

  /** Applies the record at next_offset(). */
  auto Apply(const wire::LedgerBatch& batch) -> BatchResult;

  //============================================================================
  // Queries

  /** True once the state is known; false after StartAt() until a snapshot was
   * met. */
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

  /** The team's part of the ledger; null where it has none. Valid until the
   * next command. */
  [[nodiscard]] auto Find(const TeamId& team) const -> const Team*;

  /** Whether top-ups = billed + allowances out + unallocated, and none is
     negative, for every team. */
  [[nodiscard]] auto AreTotalsConsistent() const -> bool;

  /** The whole state, valid as a record at next_offset(). */
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

#ifndef AL_BUDGET_KEEPER_PARTITION_KEEPER_H_
#define AL_BUDGET_KEEPER_PARTITION_KEEPER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "al_actions/action_queue.h"
#include "al_actions/log_events.h"
#include "al_budget/keeper/keeper_settings.h"
#include "al_budget/keeper/log_call_tracker.h"
#include "al_ledger/fold/partition_ledger.h"
#include "peer.pb.h"

namespace auburnloft {

/** The leader of one ledger partition: appends the entries of all routers to
    the partition's stream in the log service.

    A keeper takes over by appending a record that starts the next epoch. It
    batches submitted entries into one record at a time (group commit), and
    replies to the submitters only after it has read the record back as valid.
    If an append gets no reply, the keeper reads the stream to its end and
    appends the same record again if it is missing; the ledger ignores a
    repeated record.

    A deposed keeper is harmless: the ledger rejects the records that it
    appends, and it steps down when it reads the newer epoch.

    Thread safety: none; used on one thread.

    @see PartitionLedger, KeeperHost, EntryOutbox
*/
class PartitionKeeper {
 public:
  enum class Role {
    kIdle,        ///< Is not the keeper.
    kCatchingUp,  ///< Is reading the stream to its end before taking over.
    kTakingOver,  ///< Has appended its take-over record and waits to read it
                  ///< back.
    kKeeping,     ///< Is the keeper of the latest epoch that it has read.
  };

  PartitionKeeper(PartitionIndex partition,
                  IncarnationId self,
                  PeerAddress self_address,
                  ActionQueue& actions,
                  LogCallTracker& log,
                  const KeeperSettings& settings);

  PartitionKeeper(const PartitionKeeper&) = delete;
  auto operator=(const PartitionKeeper&) -> PartitionKeeper& = delete;

  //============================================================================
  // Commands

  /** Starts to take the partition over if the role is kIdle. */
  auto TakeOver(Instant now) -> void;

  /** Queues submitted entries; their verdicts go to `from_address`. */
  auto OnSubmit(Instant now,
                const PeerAddress& from_address,
                const wire::Submit& submit) -> void;

  /** Queues an entry of this router whose verdict is not sent to anyone. */
  auto AddOwnEntry(Instant now, wire::LedgerEntry entry) -> void;

  /** Handle replies of the log service. Replies to calls other than the latest
      are ignored. */
  auto OnRecords(Instant now, const LogRecords& records) -> void;
  auto OnAppended(Instant now, const LogAppended& appended) -> void;
  auto OnFailed(Instant now, const LogFailed& failed) -> void;

  /** Retries failed calls, polls the stream, commits queued entries and sends
      replies, as they are due. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto role() const -> Role { return this->current_role; }
  [[nodiscard]] auto ledger() const -> const PartitionLedger& {
    return this->local_ledger;
  }
  /** The number of entries without a verdict. */
  [[nodiscard]] auto pending() const -> std::size_t {
    return this->queue.size() + this->unconfirmed.size();
  }
  /** The number of appends that were sent to the log service. */
  [[nodiscard]] auto appends() const -> std::uint64_t {
    return this->append_count;
  }

  /** True if calls to the log service have been failing for so long that
      submitters should try another router. */
  [[nodiscard]] auto IsStalled(Instant now) const -> bool;

 private:
  enum class Io { kNone, kAppending, kReading };
  struct QueuedEntry {
    PeerAddress from;
    wire::LedgerEntry entry;
    Instant arrived;
  };
  using Replies = std::map<PeerAddress, wire::Verdicts>;

  auto StartRead(Instant now) -> void;
  auto StartAppend(Instant now, std::string bytes) -> void;
  auto FinishIo() -> void;
  auto RetryLater(Instant now) -> void;
  auto ApplyRecord(std::string_view bytes) -> void;
  auto OnEndOfStream(Instant now) -> void;
  auto SetStartOffset(Instant now, const LogRecords& records) -> void;
  auto StepDown() -> void;
  auto AppendTakeOver(Instant now) -> void;
  auto Commit(Instant now) -> void;
  auto BuildBatch(Instant now) -> wire::LedgerBatch;
  [[nodiscard]] auto SetGrantedTokens(
      wire::Grant& grant,
      std::map<std::string, Tokens>& taken) const -> bool;
  auto ReplyFromState(const QueuedEntry& item) -> bool;
  auto RefuseGrant(const QueuedEntry& item) -> void;
  auto AddReply(const PeerAddress& to, wire::EntryVerdict verdict) -> void;
  auto SendReplies(bool stalled) -> void;
  [[nodiscard]] auto SnapshotIsDue() const -> bool;
  auto WriteSnapshot(Instant now) -> void;

  PartitionIndex partition;
  IncarnationId self;
  PeerAddress self_address;
  ActionQueue& actions;
  LogCallTracker& log;
  const KeeperSettings& settings;

  Role current_role = Role::kIdle;
  PartitionLedger local_ledger;
  std::uint64_t own_epoch = 0;

  Io io = Io::kNone;
  LogTag io_tag = 0;
  Instant io_deadline;
  Instant next_io;  ///< Earliest time of the next call to the log service;
                    ///< later than now after a failure.
  Duration backoff{0};
  Instant failing_since;
  bool failing = false;

  bool has_start_offset = false;
  LogOffset start_distance = 0;
  Instant io_started;
  Instant last_full_read;  ///< Start time of the last call that returned the
                           ///< end of the stream.
  bool needs_read = false;

  std::deque<QueuedEntry> queue;
  std::set<std::string> queued_ids;
  std::map<std::string, PeerAddress>
      unconfirmed;  ///< Submitters of the entries in the record being appended,
                    ///< by entry id.
  std::string unconfirmed_record;
  std::uint64_t unconfirmed_seq = 0;
  Instant next_commit;
  std::uint64_t records_since_snapshot = 0;
  std::size_t bytes_since_snapshot = 0;
  std::size_t snapshot_bytes = 0;  ///< Size of the last snapshot that was read.
  std::uint64_t append_count = 0;
  Replies replies;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_PARTITION_KEEPER_H_

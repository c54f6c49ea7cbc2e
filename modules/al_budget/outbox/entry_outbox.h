#ifndef AL_BUDGET_OUTBOX_ENTRY_OUTBOX_H_
#define AL_BUDGET_OUTBOX_ENTRY_OUTBOX_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"
#include "ledger.pb.h"

namespace auburnloft {

/** How soon an entry is first sent. */
enum class Urgency {
  kImmediate,  ///< Sent at once, because a caller waits for the verdict.
  kBatched,    ///< Sent together with others, within EntryOutbox::kBatchDelay.
  kDelayed,    ///< Retried after EntryOutbox::kDelayedRetryInterval, when the
               ///< records that it depends on should be in the ledger.
};

/** Ledger entries that are to be sent to the keepers of their partitions. A
    keeper is the partition's leader.

    An entry stays in the outbox, and is resent at growing intervals, until
    Remove() is called for the keeper's verdict. All entries are idempotent, so
    resending them is harmless. While a partition's keeper does not reply, only
    the first few entries are resent; this window doubles with each reply that
    has verdicts.

    Entries of one partition that are due together are sent in the order in
    which they were added.

    Thread safety: none; used on one thread.

    @see PartitionKeeper
*/
class EntryOutbox {
 public:
  /** The entries of one partition that are due. */
  struct DueBatch {
    PartitionIndex partition = 0;
    std::vector<wire::LedgerEntry> entries;
  };

  /** Batched entries wait this long, so that one message carries several. */
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(200);

  /** An entry that the ledger cannot apply yet, because an earlier transfer or
      grant is not recorded, is retried after this delay. */
  static constexpr Duration kDelayedRetryInterval = std::chrono::seconds(4);

  //============================================================================
  // Commands

  /** Adds an entry. @pre its entry_id is not in the outbox. */
  auto Add(Instant now,
           PartitionIndex partition,
           wire::LedgerEntry entry,
           Urgency urgency) -> void;

  /** Removes the entry that received a verdict. @return the entry; empty if it
      is not in the outbox, as for a repeated verdict. */
  auto Remove(std::string_view entry_id) -> std::optional<wire::LedgerEntry>;

  /** Returns the entries to send now and schedules their next resend. */
  auto TakeDue(Instant now) -> std::vector<DueBatch>;

  /** Records a reply of the keeper of `partition`. If `has_verdicts`, it
      doubles the window and makes entries that have been resent due at once. */
  auto RecordReply(Instant now, PartitionIndex partition, bool has_verdicts)
      -> void;

  /** Makes all entries of `partition` due at once, for example after a change
      of keeper.
   */
  auto ResendNow(Instant now, PartitionIndex partition) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto size() const -> std::size_t { return this->places.size(); }
  [[nodiscard]] auto Contains(std::string_view entry_id) const -> bool;

  /** The partitions that have entries. */
  [[nodiscard]] auto Partitions() const -> std::vector<PartitionIndex>;

  /** All entries, in order within each partition. Valid until the next command.
   */
  [[nodiscard]] auto Entries() const -> std::vector<const wire::LedgerEntry*>;

 private:
  struct Item {
    wire::LedgerEntry entry;
    Instant due;
    Duration interval{0};  ///< Until the next resend; zero if not sent yet.
  };
  struct Partition {
    std::map<std::uint64_t, Item> items;
    std::size_t window = kInitialWindow;
  };
  struct Place {
    PartitionIndex partition;
    std::uint64_t order;
  };

  static constexpr std::size_t kInitialWindow = 16;
  static constexpr std::size_t kMaxWindow = 512;

  std::map<PartitionIndex, Partition> partitions;
  std::unordered_map<std::string, Place> places;
  std::uint64_t next_order = 1;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_OUTBOX_ENTRY_OUTBOX_H_

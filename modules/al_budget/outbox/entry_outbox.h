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
  kImmediate,  ///< A caller waits for the verdict.
  kBatched,    ///< Sent together with others, within EntryOutbox::kBatchDelay.
  kDelayed,    ///< Was premature; sent again after
               ///< EntryOutbox::kDelayedRetryInterval.
};

/** Ledger entries on their way to the keepers of their partitions.

    An entry stays here, and is sent again at growing intervals, until Remove()
   is called for the keeper's verdict. All entries are idempotent, so a repeat
   does no harm. While a partition's keeper does not answer, only the first few
   entries are sent again; the window grows with each answer.

    Entries of one partition are sent in the order in which they were added.

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

  /** Bills wait this long for others, so that a message carries several. */
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(200);

  /** An entry whose cover is not recorded yet waits this long before it is
   * tried again. */
  static constexpr Duration kDelayedRetryInterval = std::chrono::seconds(4);

  //============================================================================
  // Commands

  /** Adds an entry. @pre its entry_id is not in the outbox. */
  auto Add(Instant now,
           PartitionIndex partition,
           wire::LedgerEntry entry,
           Urgency urgency) -> void;

  /** Takes out the entry with a verdict; empty where it is not here (a repeated
   * verdict). */
  auto Remove(std::string_view entry_id) -> std::optional<wire::LedgerEntry>;

  /** The entries to be sent now, marked as sent at `now`. */
  auto TakeDue(Instant now) -> std::vector<DueBatch>;

  /** Notes that the keeper of `partition` answered: widens the window, and
     makes its entries due at once where `has_verdicts`. */
  auto RecordReply(Instant now, PartitionIndex partition, bool has_verdicts)
      -> void;

  /** Makes all entries of `partition` due at once, as after a change of keeper.
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
    Duration interval{0};  ///< Zero until it was sent.
  };
  struct Partition {
    std::map<std::uint64_t, Item> items;
    std::size_t window = kFirstWindow;
  };
  struct Place {
    PartitionIndex partition;
    std::uint64_t order;
  };

  static constexpr std::size_t kFirstWindow = 16;
  static constexpr std::size_t kLargestWindow = 512;

  std::map<PartitionIndex, Partition> partitions;
  std::unordered_map<std::string, Place> places;
  std::uint64_t next_order = 1;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_OUTBOX_ENTRY_OUTBOX_H_

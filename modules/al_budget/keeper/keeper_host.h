#ifndef AL_BUDGET_KEEPER_KEEPER_HOST_H_
#define AL_BUDGET_KEEPER_KEEPER_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "al_budget/keeper/keeper_directory.h"
#include "al_budget/keeper/partition_keeper.h"

namespace auburnloft {

/** Runs the keepers of the partitions that this router leads or is taking over.
    A keeper is the leader of a ledger partition.

    Thread safety: none; used on one thread.

    @see PartitionKeeper, KeeperDirectory
*/
class KeeperHost {
 public:
  using Keepers = std::map<PartitionIndex, std::unique_ptr<PartitionKeeper>>;

  KeeperHost(IncarnationId self,
             PeerAddress self_address,
             ActionQueue& actions,
             KeeperDirectory& directory,
             const KeeperSettings& settings);

  KeeperHost(const KeeperHost&) = delete;
  auto operator=(const KeeperHost&) -> KeeperHost& = delete;

  //============================================================================
  // Commands

  /** Changes the settings of all keepers, effective with their next commit. */
  auto SetSettings(const KeeperSettings& new_settings) -> void;

  /** Handles entries submitted for a partition: queues them if this router is
      the keeper, takes the partition over, or replies with the current keeper.
      @param may_take_over  whether this router may become the keeper; false
      while it drains. */
  auto OnSubmit(Instant now,
                const PeerAddress& from_address,
                const wire::Submit& submit,
                bool may_take_over) -> void;

  /** Pass a reply of the log service to the keeper that waits for it. */
  auto OnRecords(Instant now, const LogRecords& records) -> void;
  auto OnAppended(Instant now, const LogAppended& appended) -> void;
  auto OnFailed(Instant now, const LogFailed& failed) -> void;

  /** Runs the periodic work of all keepers. */
  auto Tick(Instant now) -> void;

  /** Records an unknown outcome for at-most-once requests that expired holders
      left in progress.
   */
  auto OnHoldersExpired(
      Instant now,
      const std::function<bool(const IncarnationId&)>& is_expired) -> void;

  /** Adds an entry of this router to a partition that it keeps. Does nothing if
      it has no keeper for `partition`. */
  auto AddEntry(Instant now, PartitionIndex partition, wire::LedgerEntry entry)
      -> void;

  /** Requests that the next candidate takes over each partition that this
      router keeps. */
  auto HandOver(
      std::span<const RouterId> active,
      const std::function<std::optional<PeerAddress>(const RouterId&)>&
          address_of) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto keepers() const -> const Keepers& {
    return this->all_keepers;
  }
  [[nodiscard]] auto log() -> LogCallTracker& { return this->log_calls; }

  /** The partitions whose keeper this router is, according to the records that
      it has read. */
  [[nodiscard]] auto KeptPartitions() const -> std::vector<PartitionIndex>;

  /** The number of appends to the log service by this router's keepers. */
  [[nodiscard]] auto AppendCount() const -> std::uint64_t;

 private:
  auto KeeperOf(PartitionIndex partition) -> PartitionKeeper&;
  IncarnationId self;
  PeerAddress self_address;
  ActionQueue& actions;
  KeeperDirectory& directory;
  KeeperSettings settings;
  LogCallTracker log_calls;
  Keepers all_keepers;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_KEEPER_HOST_H_

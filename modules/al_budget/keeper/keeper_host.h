#ifndef AL_BUDGET_KEEPER_KEEPER_HOST_H_
#define AL_BUDGET_KEEPER_KEEPER_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "al_budget/keeper/keeper_directory.h"
#include "al_budget/keeper/partition_keeper.h"

namespace auburnloft {

/** The partitions that this router keeps, or tries to.

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

  /** Changes the settings of all keepers, from their next commit on. */
  auto SetSettings(const KeeperSettings& new_settings) -> void;

  /** Handles entries for a partition: as its keeper, by taking it over, or by
     naming the keeper.
      @param may_take_over  false for a draining router. */
  auto OnSubmit(Instant now,
                const PeerAddress& from_address,
                const wire::Submit& submit,
                bool may_take_over) -> void;

  /** Route an answer of the log to the keeper that waits for it. */
  auto OnRecords(Instant now, const LogRecords& records) -> void;
  auto OnAppended(Instant now, const LogAppended& appended) -> void;
  auto OnFailed(Instant now, const LogFailed& failed) -> void;

  auto Tick(Instant now) -> void;

  /** Marks executions that dead holders left in progress as of unknown outcome.
   */
  auto OnHoldersExpired(
      Instant now,
      const std::function<bool(const IncarnationId&)>& is_expired) -> void;

  /** Adds an entry of this router's own to a partition that it keeps. */
  auto AddEntry(Instant now, PartitionIndex partition, wire::LedgerEntry entry)
      -> void;

  /** Asks the next candidate to take over what this router keeps. */
  auto HandOver(
      std::span<const RouterId> live,
      const std::function<std::optional<PeerAddress>(const RouterId&)>&
          address_of) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto keepers() const -> const Keepers& {
    return this->all_keepers;
  }
  [[nodiscard]] auto log() -> LogCallTracker& { return this->log_calls; }

  /** The partitions whose keeper this router is, as far as it has read. */
  [[nodiscard]] auto KeptPartitions() const -> std::vector<PartitionIndex>;

  /** Appends to the log by this router's keepers. */
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

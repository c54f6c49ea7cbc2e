#ifndef AL_ROUTER_CORE_ROUTER_CORE_H_
#define AL_ROUTER_CORE_ROUTER_CORE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "al_actions/action_queue.h"
#include "al_actions/log_events.h"
#include "al_budget/al_budget.h"
#include "al_config/al_config.h"
#include "al_core/random/random_source.h"
#include "al_fleet/al_fleet.h"
#include "al_router/core/fleet_announcer.h"
#include "al_router/core/router_settings.h"
#include "al_router/requests/request_manager.h"
#include "al_traffic/al_traffic.h"

namespace auburnloft {

/** All decisions of one router.

    Pass it events with the time, then carry out TakeActions(). Until a first
   configuration has come it takes no requests: the ledger's partitions are not
   known before.

    Thread safety: none; used on one thread.

    @see RequestManager, BudgetCoordinator, KeeperHost, FleetAnnouncer
*/
class RouterCore {
 public:
  explicit RouterCore(RouterSettings settings);

  RouterCore(const RouterCore&) = delete;
  auto operator=(const RouterCore&) -> RouterCore& = delete;

  //============================================================================
  // Commands: events of callers and upstreams

  /** Takes in a checked request; answers with actions for `handle`. */
  auto OnRequest(Instant now, RequestHandle handle, IncomingRequest incoming)
      -> void;
  auto OnUpstreamCompleted(Instant now, const UpstreamCompleted& done) -> void;
  auto OnUpstreamFailed(Instant now, const UpstreamFailed& failed) -> void;
  auto OnCallerDisconnected(Instant now, const CallerDisconnected& gone)
      -> void;
  auto OnLoadReport(Instant now,
                    const UpstreamId& upstream,
                    const LoadReport& report) -> void;
  auto OnCacheEvent(const UpstreamId& upstream,
                    std::span<const PrefixDigest> cached,
                    std::span<const PrefixDigest> dropped) -> void;

  //============================================================================
  // Commands: events of peers and the platform

  auto OnPeer(Instant now, const wire::PeerMessage& message) -> void;
  auto OnLogRecords(Instant now, const LogRecords& records) -> void;
  auto OnLogAppended(Instant now, const LogAppended& appended) -> void;
  auto OnLogFailed(Instant now, const LogFailed& failed) -> void;
  auto OnVmList(Instant now, const VmList& list) -> void;

  /** Does what time alone brings about. Call it every kTickInterval. */
  auto Tick(Instant now) -> void;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  /** Begins to drain: out of the entry lists, then no new requests, allowances
   * back. */
  auto BeginDrain(Instant now) -> void;

  /** The actions that the events so far have led to. */
  [[nodiscard]] auto TakeActions() -> std::vector<Action>;

  //============================================================================
  // Queries

  [[nodiscard]] auto settings() const -> const RouterSettings& {
    return this->own;
  }
  [[nodiscard]] auto configuration() const -> const Configuration* {
    return this->config.configuration();
  }
  [[nodiscard]] auto config_follower() const -> const ConfigFollower& {
    return this->config;
  }
  [[nodiscard]] auto membership() const -> const Membership& {
    return this->fleet;
  }
  [[nodiscard]] auto pool() const -> const UpstreamPool& {
    return this->upstreams;
  }
  [[nodiscard]] auto directory() const -> const KeeperDirectory& {
    return this->keeper_directory;
  }

  /** Null before the first configuration. */
  [[nodiscard]] auto request_manager() const -> const RequestManager*;
  [[nodiscard]] auto budget() const -> const BudgetCoordinator*;
  [[nodiscard]] auto outbox() const -> const EntryOutbox* {
    return &this->entries;
  }
  [[nodiscard]] auto keepers() const -> const KeeperHost& { return this->host; }
  [[nodiscard]] auto witness() const -> const WitnessDesk*;

  [[nodiscard]] auto IsDraining() const -> bool {
    return this->drain_began.has_value();
  }

  /** True while a draining router still takes requests of callers with an old
   * entry list. */
  [[nodiscard]] auto AcceptsRequests(Instant now) const -> bool;

  /** True once a draining router has nothing left to do and may exit. */
  [[nodiscard]] auto IsDrained(Instant now) const -> bool;

 private:
  /** What exists once the partitions of the ledger are known. */
  struct Ledgered {
    Ledgered(RouterCore& core, PartitionIndex partition_count);
    PartitionMap partitions;
    WitnessDesk witness;
    DrawLimitDesk draw_limits;
    BudgetCoordinator budget;
    RequestManager request_manager;
    ReclaimDesk reclaim;
  };

  auto ApplyConfiguration() -> void;
  auto OnVerdicts(Instant now,
                  const IncarnationId& from,
                  const wire::Verdicts& verdicts) -> void;
  auto OnNotKeeper(Instant now, const wire::NotKeeper& not_keeper) -> void;
  auto OnLedgerMessage(Instant now, const wire::PeerMessage& message) -> void;
  auto TickOutbox(Instant now) -> void;
  auto SendOutbox(Instant now) -> void;
  auto TickConfig(Instant now) -> void;
  auto TickDead(Instant now) -> void;
  auto TickDrain(Instant now) -> void;
  auto Settle(Instant now) -> void;
  auto Sign(wire::PeerMessage& message) const -> void;
  auto Deliver(Instant now) -> void;
  auto PublishKeepers() -> void;
  auto ChooseWitness(Instant now) -> void;
  [[nodiscard]] auto ChooseWitnesses() const -> std::vector<IncarnationId>;
  [[nodiscard]] auto LikelyHolders(const TeamId& team) const
      -> std::vector<RouterId>;

  RouterSettings own;
  RandomSource random;
  ActionQueue queue;
  std::vector<Action> ready;
  Membership fleet;
  ConfigFollower config;
  UpstreamPool upstreams;
  KeeperDirectory keeper_directory;
  KeeperHost host;
  EntryOutbox entries;
  FleetAnnouncer announcer;
  TransferDesk transfers;
  std::unique_ptr<Ledgered> ledgered;
  std::uint64_t applied_version = 0;
  std::vector<RouterId> applied_routers;
  Instant next_dead_check;
  std::optional<Instant> drain_began;
  Instant next_hand_over;
  Instant next_witness_choice;
  std::optional<PeerAddress> witness_address;
  std::vector<IncarnationId> witness_ids;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_ROUTER_CORE_H_

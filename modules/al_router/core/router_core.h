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

/** The decision code of one router.

    Pass it events with the current time, then perform the actions from
   TakeActions(). It refuses requests until it has a configuration, since that
   sets the number of ledger partitions.

    The ledger is split into partitions. The leader of a partition is its
   keeper; a witness is a router that holds copies of unrecorded entries and
   draw limits of another router.

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

  /** Starts to handle a validated request; the result follows as actions for
   * `handle`. */
  auto OnRequest(Instant now, RequestHandle handle, IncomingRequest incoming)
      -> void;
  auto OnUpstreamCompleted(Instant now, const UpstreamCompleted& done) -> void;
  auto OnUpstreamFailed(Instant now, const UpstreamFailed& failed) -> void;
  auto OnCallerDisconnected(Instant now, const CallerDisconnected& disconnected)
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

  /** Handles everything that depends only on time. Call it every kTickInterval.
   */
  auto Tick(Instant now) -> void;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  /** Begins to drain: the router leaves the entry lists, later refuses new
   * requests, and then returns its allowances. Does nothing if it is already
   * draining. */
  auto BeginDrain(Instant now) -> void;

  /** Returns the actions that result from the events so far, and removes them
   * from the queue. */
  [[nodiscard]] auto TakeActions() -> std::vector<Action>;

  //============================================================================
  // Queries

  [[nodiscard]] auto settings() const -> const RouterSettings& {
    return this->own_settings;
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
    return &this->entry_outbox;
  }
  [[nodiscard]] auto keepers() const -> const KeeperHost& { return this->host; }
  [[nodiscard]] auto witness() const -> const WitnessManager*;

  [[nodiscard]] auto IsDraining() const -> bool {
    return this->drain_start.has_value();
  }

  /** True unless the router is draining and callers have had time to replace
   * their old entry lists. */
  [[nodiscard]] auto AcceptsRequests(Instant now) const -> bool;

  /** True if a draining router has no open work left, or has waited long
   * enough, and may exit. */
  [[nodiscard]] auto IsDrained(Instant now) const -> bool;

 private:
  /** The parts that need the number of ledger partitions, created with the
   * first configuration. */
  struct LedgerComponents {
    LedgerComponents(RouterCore& core, PartitionIndex partition_count);
    PartitionMap partitions;
    WitnessManager witness;
    DrawLimitManager draw_limits;
    BudgetCoordinator budget;
    RequestManager request_manager;
    ReclaimManager reclaim;
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
  auto HandleExpiredIncarnations(Instant now) -> void;
  auto TickDrain(Instant now) -> void;
  auto ProcessActions(Instant now) -> void;
  auto SetSender(wire::PeerMessage& message) const -> void;
  auto DeliverActions(Instant now) -> void;
  auto AnnounceKeepers() -> void;
  auto ChooseWitness(Instant now) -> void;
  [[nodiscard]] auto witness_candidates() const -> std::vector<IncarnationId>;
  [[nodiscard]] auto LikelyHolders(const TeamId& team) const
      -> std::vector<RouterId>;

  RouterSettings own_settings;
  RandomSource random;
  ActionQueue queue;
  std::vector<Action> external_actions;
  Membership fleet;
  ConfigFollower config;
  UpstreamPool upstreams;
  KeeperDirectory keeper_directory;
  KeeperHost host;
  EntryOutbox entry_outbox;
  FleetAnnouncer announcer;
  TransferManager transfers;
  std::unique_ptr<LedgerComponents> ledger_components;
  std::uint64_t applied_version = 0;
  std::vector<RouterId> applied_routers;
  Instant next_expiry_check;
  std::optional<Instant> drain_start;
  Instant next_handover;
  Instant next_witness_choice;
  std::optional<PeerAddress> witness_address;
  std::vector<IncarnationId> witness_ids;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_ROUTER_CORE_H_

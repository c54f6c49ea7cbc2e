#ifndef AL_ROUTER_CORE_FLEET_ANNOUNCER_H_
#define AL_ROUTER_CORE_FLEET_ANNOUNCER_H_

#include "al_actions/action_queue.h"
#include "al_budget/keeper/keeper_directory.h"
#include "al_config/replay/config_follower.h"
#include "al_fleet/membership/gossip_table.h"
#include "al_fleet/membership/membership.h"
#include "peer.pb.h"

namespace auburnloft {

/** Sends heartbeats to a router's neighbours and processes theirs.

    Each router sends heartbeats to a small fixed number of neighbours, so that
   its control traffic does not grow with the fleet. Three kinds of updates
   spread by gossip: the keeper (leader) of a ledger partition, draining routers
   and expired incarnations.

    Thread safety: none; used on one thread.

    @see Membership, GossipTable, KeeperDirectory
*/
class FleetAnnouncer {
 public:
  FleetAnnouncer(IncarnationId self,
                 ActionQueue& actions,
                 Membership& membership,
                 KeeperDirectory& directory,
                 ConfigFollower& config);

  FleetAnnouncer(const FleetAnnouncer&) = delete;
  auto operator=(const FleetAnnouncer&) -> FleetAnnouncer& = delete;

  //============================================================================
  // Commands

  /** Processes a neighbour's heartbeat, and requests a newer configuration if
   * the neighbour has one. */
  auto OnHeartbeat(Instant now,
                   const IncarnationId& from,
                   const PeerAddress& from_address,
                   const wire::Heartbeat& heartbeat) -> void;

  /** Records a message from an incarnation. A new incarnation of a router
   * proves that the earlier ones have expired; this is announced.
   */
  auto RecordContact(Instant now, const IncarnationId& from) -> void;

  /** Announces by gossip which incarnations of a router have expired. Does
   * nothing if none is recorded as expired. */
  auto AnnounceExpired(const RouterId& router) -> void;

  /** Records the keeper of a partition and, if it changed, announces it by
   * gossip. */
  auto RecordKeeper(PartitionIndex partition,
                    const IncarnationId& keeper,
                    std::uint64_t epoch) -> void;

  /** Announces that this router is draining. */
  auto AnnounceDraining() -> void;

  /** Sends a heartbeat to each neighbour if one is due. */
  auto Tick(Instant now, std::uint32_t open_requests, bool draining) -> void;

 private:
  auto OnRumor(const wire::Rumor& rumor) -> void;
  auto SendDirectory(const PeerAddress& to) -> void;
  auto AddAllGossip(wire::Heartbeat& heartbeat) const -> void;

  IncarnationId self;
  ActionQueue& actions;
  Membership& membership;
  KeeperDirectory& directory;
  ConfigFollower& config;
  GossipTable gossip;
  std::uint32_t last_open_requests = 0;
  bool last_draining = false;
  int directory_requests = 0;
  Instant next_heartbeat;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_FLEET_ANNOUNCER_H_

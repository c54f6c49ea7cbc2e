#ifndef AL_ROUTER_CORE_FLEET_ANNOUNCER_H_
#define AL_ROUTER_CORE_FLEET_ANNOUNCER_H_

#include "al_actions/action_queue.h"
#include "al_budget/keeper/keeper_directory.h"
#include "al_config/replay/config_follower.h"
#include "al_fleet/membership/membership.h"
#include "al_fleet/membership/rumor_board.h"
#include "peer.pb.h"

namespace auburnloft {

/** What a router tells its neighbours at each heartbeat, and learns from
   theirs.

    Each router speaks to a fixed small number of neighbours, so that its
   control traffic does not grow with the fleet. Facts travel as rumors: who
   keeps a partition, who drains, who is dead.

    Thread safety: none; used on one thread.

    @see Membership, RumorBoard, KeeperDirectory
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

  /** Takes in a heartbeat. */
  auto OnHeartbeat(Instant now,
                   const IncarnationId& from,
                   const PeerAddress& from_address,
                   const wire::Heartbeat& heartbeat) -> void;

  /** Notes that a router spoke; a new incarnation proves the earlier one dead.
   */
  auto OnHeard(Instant now, const IncarnationId& from) -> void;

  /** Passes on that all earlier incarnations of a router are dead. */
  auto AnnounceExpired(const RouterId& router) -> void;

  /** Learns who keeps a partition, and passes it on where it is news. */
  auto RecordKeeper(PartitionIndex partition,
                    const IncarnationId& keeper,
                    std::uint64_t epoch) -> void;

  /** Passes on that this router drains. */
  auto AnnounceDraining() -> void;

  /** Sends heartbeats when their time has come. */
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
  RumorBoard rumors;
  std::uint32_t last_open_requests = 0;
  bool last_draining = false;
  int rounds = 0;
  Instant next_heartbeat;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_FLEET_ANNOUNCER_H_

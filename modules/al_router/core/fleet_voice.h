#ifndef AL_ROUTER_CORE_FLEET_VOICE_H_
#define AL_ROUTER_CORE_FLEET_VOICE_H_

#include "al_actions/action_queue.h"
#include "al_budget/keeper/keeper_directory.h"
#include "al_config/fold/config_follower.h"
#include "al_fleet/membership/gossip_table.h"
#include "al_fleet/membership/membership.h"
#include "peer.pb.h"

namespace auburnloft {

/** What a router tells its neighbours at each heartbeat, and learns from
   theirs.

    Each router speaks to a fixed small number of neighbours, so that its
   control traffic does not grow with the fleet. Facts travel as rumors: who
   keeps a partition, who drains, who is dead.

    Thread safety: none; used on one thread.

    @see Membership, GossipTable, KeeperDirectory
*/
class FleetVoice {
 public:
  FleetVoice(IncarnationId self,
             ActionQueue& actions,
             Membership& membership,
             KeeperDirectory& directory,
             ConfigFollower& config);

  FleetVoice(const FleetVoice&) = delete;
  auto operator=(const FleetVoice&) -> FleetVoice& = delete;

  //============================================================================
  // Commands

  /** Takes in a heartbeat. */
  auto OnHeartbeat(Instant now,
                   const IncarnationId& from,
                   const PeerAddress& from_address,
                   const wire::Heartbeat& heartbeat) -> void;

  /** Notes that a router spoke; a new incarnation proves the earlier one dead.
   */
  auto RecordContact(Instant now, const IncarnationId& from) -> void;

  /** Passes on that all earlier incarnations of a router are dead. */
  auto TellDead(const RouterId& router) -> void;

  /** Learns who keeps a partition, and passes it on where it is news. */
  auto LearnKeeper(PartitionIndex partition,
                   const IncarnationId& keeper,
                   std::uint64_t epoch) -> void;

  /** Passes on that this router drains. */
  auto TellDraining() -> void;

  /** Sends heartbeats when their time has come. */
  auto Tick(Instant now, std::uint32_t open_requests, bool draining) -> void;

 private:
  auto OnRumor(const wire::Rumor& rumor) -> void;
  auto SendDirectory(const PeerAddress& to) -> void;
  auto AddKnownFacts(wire::Heartbeat& heartbeat) const -> void;

  IncarnationId self;
  ActionQueue& actions;
  Membership& membership;
  KeeperDirectory& directory;
  ConfigFollower& config;
  GossipTable rumors;
  std::uint32_t last_open_requests = 0;
  bool last_draining = false;
  int rounds = 0;
  Instant next_heartbeat;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_FLEET_VOICE_H_

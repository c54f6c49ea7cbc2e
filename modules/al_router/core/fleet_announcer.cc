#include "al_router/core/fleet_announcer.h"

#include <utility>

#include "al_fleet/membership/neighbours.h"

namespace auburnloft {

namespace {

/** Time between two heartbeats. A configuration change must reach all routers
 * within seven seconds; at this interval it passes nine hops in that time, the
 * diameter of the neighbour graph of 420 routers. */
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(700);

/** Maximum number of neighbours of a router: a ring with chords of 420 routers
 * needs nine. */
constexpr std::size_t kMaxNeighbours = 9;

/** A router requests the complete directory with this many of its first
 * heartbeats. */
constexpr int kDirectoryRequests = 3;

}  // namespace

FleetAnnouncer::FleetAnnouncer(IncarnationId self,
                               ActionQueue& actions,
                               Membership& membership,
                               KeeperDirectory& directory,
                               ConfigFollower& config)
    : self(std::move(self)),
      actions(actions),
      membership(membership),
      directory(directory),
      config(config) {}

auto FleetAnnouncer::OnHeartbeat(Instant now,
                                 const IncarnationId& from,
                                 const PeerAddress& from_address,
                                 const wire::Heartbeat& heartbeat) -> void {
  this->membership.OnHeartbeat(from, heartbeat.open_requests(),
                               heartbeat.draining());
  for (const wire::Rumor& rumor : heartbeat.rumors()) {
    this->OnRumor(rumor);
  }
  if (heartbeat.config_version() > this->config.state_machine().version()) {
    this->config.OnNewerVersion(now, from_address);
  }
  if (heartbeat.wants_directory()) {
    this->SendDirectory(from_address);
  }
}

auto FleetAnnouncer::RecordContact(Instant now, const IncarnationId& from)
    -> void {
  if (this->membership.RecordContact(now, from)) {
    this->AnnounceExpired(RouterOf(from));
  }
}

auto FleetAnnouncer::AnnounceExpired(const RouterId& router) -> void {
  const auto found = this->membership.expired_before().find(router);
  if (found == this->membership.expired_before().end()) {
    return;
  }
  wire::Rumor rumor;
  rumor.set_kind(wire::Rumor::DEAD);
  rumor.set_router(router.value());
  rumor.set_number(static_cast<std::uint64_t>(found->second));
  this->gossip.Add(std::move(rumor));
}

auto FleetAnnouncer::RecordKeeper(PartitionIndex partition,
                                  const IncarnationId& keeper,
                                  std::uint64_t epoch) -> void {
  if (!this->directory.Update(partition, keeper, epoch)) {
    return;
  }
  wire::Rumor rumor;
  rumor.set_kind(wire::Rumor::KEEPER);
  rumor.set_partition(partition);
  rumor.set_number(epoch);
  rumor.set_router(keeper.value());
  this->gossip.Add(std::move(rumor));
}

auto FleetAnnouncer::AnnounceDraining() -> void {
  this->membership.MarkDraining(this->self);
  wire::Rumor rumor;
  rumor.set_kind(wire::Rumor::DRAINING);
  rumor.set_router(this->self.value());
  this->gossip.Add(std::move(rumor));
}

auto FleetAnnouncer::OnRumor(const wire::Rumor& rumor) -> void {
  switch (rumor.kind()) {
    case wire::Rumor::KEEPER:
      this->RecordKeeper(rumor.partition(), IncarnationId(rumor.router()),
                         rumor.number());
      break;
    case wire::Rumor::DRAINING:
      if (this->membership.MarkDraining(IncarnationId(rumor.router()))) {
        this->gossip.Add(rumor);
      }
      break;
    case wire::Rumor::DEAD:
      if (this->membership.MarkExpired(
              RouterId(rumor.router()),
              static_cast<std::int64_t>(rumor.number()))) {
        this->gossip.Add(rumor);
      }
      break;
    default:
      break;
  }
}

auto FleetAnnouncer::AddAllGossip(wire::Heartbeat& heartbeat) const -> void {
  for (const auto& [partition, known] : this->directory.all()) {
    wire::Rumor& rumor = *heartbeat.add_rumors();
    rumor.set_kind(wire::Rumor::KEEPER);
    rumor.set_partition(partition);
    rumor.set_number(known.epoch);
    rumor.set_router(known.keeper.value());
  }
  for (const auto& [router, before] : this->membership.expired_before()) {
    wire::Rumor& rumor = *heartbeat.add_rumors();
    rumor.set_kind(wire::Rumor::DEAD);
    rumor.set_router(router.value());
    rumor.set_number(static_cast<std::uint64_t>(before));
  }
}

auto FleetAnnouncer::SendDirectory(const PeerAddress& to) -> void {
  wire::PeerMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_open_requests(this->last_open_requests);
  heartbeat.set_draining(this->last_draining);
  heartbeat.set_config_version(this->config.state_machine().version());
  this->AddAllGossip(heartbeat);
  this->actions.Push(SendPeerMessage{to, std::move(message)});
}

auto FleetAnnouncer::Tick(Instant now,
                          std::uint32_t open_requests,
                          bool draining) -> void {
  this->last_open_requests = open_requests;
  this->last_draining = draining;
  if (now < this->next_heartbeat) {
    return;
  }
  this->next_heartbeat = now + kHeartbeatInterval;
  wire::PeerMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_open_requests(open_requests);
  heartbeat.set_draining(draining);
  heartbeat.set_config_version(this->config.state_machine().version());
  for (wire::Rumor& rumor : this->gossip.TakeRound()) {
    *heartbeat.add_rumors() = std::move(rumor);
  }
  const std::vector<RouterId> neighbours =
      NeighboursOf(RouterOf(this->self), this->membership, kMaxNeighbours);
  if (!neighbours.empty() && this->directory_requests < kDirectoryRequests) {
    ++this->directory_requests;
    heartbeat.set_wants_directory(true);
  }
  for (const RouterId& neighbour : neighbours) {
    if (const std::optional<PeerAddress> address =
            this->membership.AddressOf(neighbour)) {
      this->actions.Push(SendPeerMessage{*address, message});
    }
  }
}

}  // namespace auburnloft

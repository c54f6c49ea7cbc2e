#include "al_gateway/streams/stream_origin_replicas.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Routers that are asked: the replicas, also if the two lists of routers
    differ by one that has died and another one. Of those that leave as many, as
    replicas may leave at any moment. */
constexpr std::size_t kAsked = 4;

auto AddressesOf(const std::vector<const RouterAnnouncement*>& routers)
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  addresses.reserve(routers.size());
  for (const RouterAnnouncement* const router : routers) {
    addresses.push_back(router->peer_address);
  }
  return addresses;
}

auto GroupName(std::size_t group) -> std::string {
  return "streams " + std::to_string(group);
}

}  // namespace

StreamOriginReplicas::StreamOriginReplicas(const RouterRegistry& routers,
                                           Duration stream_lifetime)
    : routers(routers), stream_lifetime(stream_lifetime) {}

//==============================================================================
// Commands

auto StreamOriginReplicas::RecordOwn(StreamOrigin origin,
                                     bool is_replicated,
                                     Instant now,
                                     Instant members_at) -> void {
  StreamOriginTable::Entry* const entry =
      this->table.RecordOwn(std::move(origin), now);
  if (entry == nullptr) {
    return;
  }
  entry->is_replicated =
      entry->is_replicated || is_replicated || this->is_leaving;
  if (entry->is_replicated) {
    this->Tell(*entry,
               this->ReplicasOf(GroupOf(entry->origin.attempt_id), members_at),
               now);
  }
}

auto StreamOriginReplicas::RecordTold(StreamOrigin origin,
                                      Duration age,
                                      std::string_view teller,
                                      Instant now) -> void {
  if (age >= Duration(0) && age < StreamOriginTable::kLifetime) {
    this->table.RecordTold(std::move(origin), StableHash(teller), now - age,
                           now);
  }
}

auto StreamOriginReplicas::Update(const IsReplicated& is_replicated,
                                  Instant now,
                                  Instant members_at) -> void {
  const std::set<std::uint64_t> active = this->is_leaving
                                             ? this->ActiveRouters(members_at)
                                             : std::set<std::uint64_t>();
  std::array<std::optional<Replicas>, kGroups> replicas;
  this->table.VisitEntries(now, [&](StreamOriginTable::Entry& entry) {
    if (this->is_leaving && !active.contains(entry.teller)) {
      entry.teller = 0;  // This router takes the place of the one that is gone.
    }
    if (entry.teller != 0) {
      return;
    }
    entry.is_replicated = entry.is_replicated || this->is_leaving ||
                          is_replicated(entry.origin.service);
    if (!entry.is_replicated) {
      return;
    }
    const std::size_t group = GroupOf(entry.origin.attempt_id);
    if (!replicas.at(group)) {
      replicas.at(group) = this->ReplicasOf(group, members_at);
    }
    this->Tell(entry, *replicas.at(group), now);
  });
}

auto StreamOriginReplicas::TakeNews() -> NewsByAddress {
  return std::exchange(this->news, {});
}

//==============================================================================
// Queries

auto StreamOriginReplicas::Find(std::string_view attempt_id, Instant now) const
    -> const StreamOrigin* {
  return this->table.Find(attempt_id, now);
}

auto StreamOriginReplicas::SourcesOf(std::string_view attempt_id,
                                     Instant members_at) const -> Sources {
  const std::string group = GroupName(GroupOf(attempt_id));
  return {AddressesOf(this->routers.FindHighestRankedAcrossDomains(
              group, kAsked, members_at)),
          AddressesOf(this->routers.FindHighestRankedLeaving(group, kAsked,
                                                             members_at))};
}

//==============================================================================

auto StreamOriginReplicas::GroupOf(std::string_view attempt_id) -> std::size_t {
  return StableHash(attempt_id) % kGroups;
}

auto StreamOriginReplicas::ReplicasOf(std::size_t group,
                                      Instant members_at) const -> Replicas {
  constexpr std::size_t kCount = StreamOriginTable::kReplicas;
  const std::string name = GroupName(group);
  auto chosen =
      this->routers.FindHighestRankedAcrossDomains(name, kCount, members_at);
  if (chosen.size() < kCount) {
    const auto leaving = this->routers.FindHighestRankedLeaving(
        name, kCount - chosen.size(), members_at);
    chosen.insert(chosen.end(), leaving.begin(), leaving.end());
  }
  Replicas replicas;
  for (const RouterAnnouncement* const router : chosen) {
    replicas.push_back({StableHash(router->incarnation), router->peer_address});
  }
  return replicas;
}

auto StreamOriginReplicas::Tell(StreamOriginTable::Entry& entry,
                                const Replicas& replicas,
                                Instant now) -> void {
  if (now - entry.recorded_at >= this->stream_lifetime) {
    return;
  }
  const auto told = std::exchange(entry.told, {});
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    entry.told.at(i) = replicas[i].id;
    if (std::ranges::find(told, replicas[i].id) == told.end()) {
      this->news[replicas[i].address].push_back(
          {entry.origin, entry.recorded_at});
    }
  }
}

auto StreamOriginReplicas::ActiveRouters(Instant members_at) const
    -> std::set<std::uint64_t> {
  std::set<std::uint64_t> active;
  this->routers.VisitAll(members_at,
                         [&](const RouterAnnouncement& router, bool is_active) {
                           if (is_active) {
                             active.insert(StableHash(router.incarnation));
                           }
                         });
  return active;
}

}  // namespace auburnloft::gateway

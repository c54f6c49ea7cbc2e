#include "al_gateway/membership/discovery_plan.h"

#include <algorithm>
#include <cstdint>
#include <span>

#include "al_core/text/digest.h"
#include "al_gateway/membership/router_registry.h"

namespace auburnloft::gateway {

namespace {

/** In fleets up to this size, every router reads the log: the traffic is small,
   and no router depends on another one. */
constexpr std::size_t kMaxRoutersThatAllRead = 12;

/** Readers of a larger fleet: enough to have some left after the loss of a
   failure domain, and enough that each sends fewer than 100 replies per second.
 */
constexpr std::size_t kMinReaders = 6;
constexpr std::size_t kRoutersPerReader = 24;

/** Maximum number of readers in a router's plan. */
constexpr std::size_t kMaxPeers = 4;

/** Salt of the rendezvous hash that selects readers. */
constexpr std::string_view kReaderHashSalt = "upstream feed";

struct Candidate {
  std::string_view name;
  std::string_view domain;
  std::string_view address;
  std::uint64_t link_mbps = 0;
  std::uint64_t rank = 0;
};

auto ActiveCandidates(const RouterRegistry& registry, Instant now)
    -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  registry.VisitAll(now, [&](const RouterAnnouncement& announcement,
                             bool is_active) {
    if (is_active && !announcement.leaving) {
      candidates.push_back({announcement.name, announcement.domain,
                            announcement.peer_address, announcement.link_mbps,
                            StableHash(kReaderHashSalt, announcement.name)});
    }
  });
  return candidates;
}

auto ReaderCount(std::size_t routers) -> std::size_t {
  return std::max(kMinReaders,
                  (routers + kRoutersPerReader - 1) / kRoutersPerReader);
}

/** Sorts the readers by preference: those in `domain` first, then in an order
   that differs between routers, to distribute the load. */
auto SortByPreference(std::string_view name,
                      std::string_view domain,
                      std::span<Candidate> readers) -> void {
  for (Candidate& reader : readers) {
    reader.rank = StableHash(name, reader.name);
  }
  std::ranges::sort(readers, [domain](const auto& left, const auto& right) {
    const bool left_local = left.domain == domain;
    const bool right_local = right.domain == domain;
    return left_local != right_local ? left_local : left.rank > right.rank;
  });
}

}  // namespace

auto PlanDiscovery(const RouterRegistry& registry,
                   std::string_view name,
                   std::string_view domain,
                   Instant now) -> DiscoveryPlan {
  std::vector<Candidate> routers = ActiveCandidates(registry, now);
  if (routers.size() <= kMaxRoutersThatAllRead) {
    return {};
  }
  std::ranges::sort(routers, [](const auto& left, const auto& right) {
    return left.link_mbps != right.link_mbps ? left.link_mbps > right.link_mbps
                                             : left.rank > right.rank;
  });
  routers.resize(ReaderCount(routers.size()));
  DiscoveryPlan plan;
  plan.reads_log = std::ranges::any_of(
      routers, [name](const auto& reader) { return reader.name == name; });
  if (plan.reads_log) {
    return plan;
  }
  SortByPreference(name, domain, routers);
  routers.resize(std::min(routers.size(), kMaxPeers));
  for (const Candidate& reader : routers) {
    plan.peers.emplace_back(reader.address);
  }
  return plan;
}

}  // namespace auburnloft::gateway

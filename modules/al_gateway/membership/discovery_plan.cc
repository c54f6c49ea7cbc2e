#include "al_gateway/membership/discovery_plan.h"

#include <algorithm>
#include <cstdint>
#include <span>

#include "al_core/text/digest.h"
#include "al_gateway/membership/router_registry.h"

namespace auburnloft::gateway {

namespace {

/** Fleets up to this size read the log all together: the bytes are few, and
   nobody depends on another router. */
constexpr std::size_t kAllReadUpTo = 12;

/** Readers of a larger fleet: enough that the loss of a failure domain leaves
   some, and one for so many routers that its answers stay below a hundred a
   second. */
constexpr std::size_t kLeastReaders = 6;
constexpr std::size_t kRoutersPerReader = 24;

/** Readers that a router knows to ask. */
constexpr std::size_t kMostPeers = 4;

constexpr std::string_view kElection = "upstream feed";

struct Candidate {
  std::string_view name;
  std::string_view domain;
  std::string_view address;
  std::uint64_t link_mbps = 0;
  std::uint64_t rank = 0;
};

auto LivingOf(const RouterRegistry& registry, Instant now)
    -> std::vector<Candidate> {
  std::vector<Candidate> living;
  registry.VisitAll(now, [&](const RouterAnnouncement& said, bool alive) {
    if (alive && !said.leaving) {
      living.push_back({said.name, said.domain, said.peer_address,
                        said.link_mbps, StableHash(kElection, said.name)});
    }
  });
  return living;
}

auto ReaderCount(std::size_t routers) -> std::size_t {
  return std::max(kLeastReaders,
                  (routers + kRoutersPerReader - 1) / kRoutersPerReader);
}

/** Spreads the routers over the readers, those of their own domain first. */
auto OrderFor(std::string_view name,
              std::string_view domain,
              std::span<Candidate> readers) -> void {
  for (Candidate& reader : readers) {
    reader.rank = StableHash(name, reader.name);
  }
  std::ranges::sort(readers, [domain](const auto& left, const auto& right) {
    const bool left_near = left.domain == domain;
    const bool right_near = right.domain == domain;
    return left_near != right_near ? left_near : left.rank > right.rank;
  });
}

}  // namespace

auto PlanDiscovery(const RouterRegistry& registry,
                   std::string_view name,
                   std::string_view domain,
                   Instant now) -> DiscoveryPlan {
  std::vector<Candidate> routers = LivingOf(registry, now);
  if (routers.size() <= kAllReadUpTo) {
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
  OrderFor(name, domain, routers);
  routers.resize(std::min(routers.size(), kMostPeers));
  for (const Candidate& reader : routers) {
    plan.peers.emplace_back(reader.address);
  }
  return plan;
}

}  // namespace auburnloft::gateway

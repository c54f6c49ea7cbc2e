#include "al_fleet/membership/neighbours.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

auto NeighboursOf(const RouterId& self,
                  const Membership& membership,
                  std::size_t max_count) -> std::vector<RouterId> {
  std::vector<RouterId> ring;
  for (const auto& [name, router] : membership.routers()) {
    ring.push_back(name);
  }
  std::ranges::sort(ring, {}, [](const RouterId& router) {
    return StableHash(router.value());
  });
  // If `self` is not a member, this is ring.size(), which counts as index 0.
  const auto own_index =
      static_cast<std::size_t>(std::ranges::find(ring, self) - ring.begin());
  std::vector<RouterId> neighbours;
  // In a small fleet, each router exchanges heartbeats with all others. In a
  // large one, with those at distances 1, 2, 4, 8, ... on the ring.
  const bool is_full_mesh = ring.size() <= max_count + 1;
  for (std::size_t distance = 1;
       distance < ring.size() && neighbours.size() < max_count;
       distance = is_full_mesh ? distance + 1 : distance * 2) {
    neighbours.push_back(ring[(own_index + distance) % ring.size()]);
  }
  return neighbours;
}

}  // namespace auburnloft

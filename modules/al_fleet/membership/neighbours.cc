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
  const auto own =
      static_cast<std::size_t>(std::ranges::find(ring, self) - ring.begin());
  std::vector<RouterId> neighbours;
  // A small fleet forms a full mesh, a large one a ring with chords.
  const bool is_small = ring.size() <= max_count + 1;
  for (std::size_t step = 1;
       step < ring.size() && neighbours.size() < max_count;
       step = is_small ? step + 1 : step * 2) {
    neighbours.push_back(ring[(own + step) % ring.size()]);
  }
  return neighbours;
}

}  // namespace auburnloft

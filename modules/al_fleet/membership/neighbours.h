#ifndef AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_
#define AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_

#include <cstddef>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/membership.h"

namespace auburnloft {

/** The routers that `self` exchanges heartbeats with: a few, however large the
   fleet is.

    The routers stand on a ring by a hash of their names; `self` picks those at
   distances 1, 2, 4, 8, ... after it, so that a fact passes through the whole
   fleet in a logarithmic number of rounds, and a few of the other failure
   domains, so that it does not depend on one.

    @param most  the largest count of neighbours; > 0.
*/
[[nodiscard]] auto NeighboursOf(const RouterId& self,
                                const Membership& membership,
                                std::size_t max_count) -> std::vector<RouterId>;

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_

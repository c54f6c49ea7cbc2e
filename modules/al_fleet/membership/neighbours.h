#ifndef AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_
#define AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_

#include <cstddef>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/membership.h"

namespace auburnloft {

/** The routers with which `self` exchanges heartbeats: a bounded number,
    whatever the size of the fleet.

    The routers are ordered on a ring by a hash of their names. `self` selects
    those at distances 1, 2, 4, 8, ... after it, so that an update reaches the
    whole fleet in a logarithmic number of rounds.

    @param max_count  the maximum number of neighbours; > 0.
*/
[[nodiscard]] auto NeighboursOf(const RouterId& self,
                                const Membership& membership,
                                std::size_t max_count) -> std::vector<RouterId>;

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_NEIGHBOURS_H_

#ifndef AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_
#define AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_

#include <cstddef>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/membership.h"

namespace auburnloft {

/** The routers that the callers of `team` use, best first.

    A team's callers are sent to few routers, by rendezvous hashing of the team
   over the routers that do not drain, so that its allowance has few fragments;
   the routers are of different failure domains where there are as many. All
   routers with the same view of the fleet give the same list, and a router that
   comes or goes changes the lists of few teams.

    @param team   may be empty: a list for callers who do not tell their team.
    @param count  the length of the list, at most.
*/
[[nodiscard]] auto SelectEntryRouters(const TeamId& team,
                                      const Membership& membership,
                                      std::size_t count) -> std::vector<Vm>;

}  // namespace auburnloft

#endif  // AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_

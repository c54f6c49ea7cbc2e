#ifndef AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_
#define AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_

#include <cstddef>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/membership.h"

namespace auburnloft {

/** Selects the routers that the callers of `team` should connect to, in order
    of preference.

    A team's callers are directed to few routers, so that its allowance is split
    into few parts. The order comes from rendezvous hashing of the team over the
    routers that are not draining. The first routers are in different failure
    domains, as far as there are enough domains. All routers with the same view
    of the fleet return the same list, and a router that joins or leaves changes
    the lists of few teams.

    @param team   may be empty, for callers that do not state their team.
    @param count  the maximum length of the list.
*/
[[nodiscard]] auto SelectEntryRouters(const TeamId& team,
                                      const Membership& membership,
                                      std::size_t count) -> std::vector<Vm>;

}  // namespace auburnloft

#endif  // AL_FLEET_ENTRIES_ENTRY_ROUTERS_H_

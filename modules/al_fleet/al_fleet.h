/** Module al_fleet: the routers of the fleet, the state that they exchange, and
    the selection of routers for callers.

    Depends on: al_core, al_actions, the peer messages.

    Parts:
    - membership/   VmList, Membership (active and expired routers),
                    GossipTable, NeighboursOf
    - entries/      SelectEntryRouters: the routers that callers should connect
                    to
*/
#ifndef AL_FLEET_AL_FLEET_H_
#define AL_FLEET_AL_FLEET_H_

#include "al_fleet/entries/entry_routers.h"
#include "al_fleet/membership/gossip_table.h"
#include "al_fleet/membership/membership.h"
#include "al_fleet/membership/neighbours.h"
#include "al_fleet/membership/vm_list.h"

#endif  // AL_FLEET_AL_FLEET_H_

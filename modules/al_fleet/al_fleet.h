/** Module al_fleet: which routers there are, what they tell each other, and
   which of them callers use.

    Depends on: al_core, al_actions, the peer messages.

    Parts:
    - membership/   VmList, Membership (who lives, who is dead for a fact),
   GossipTable, Neighbours
    - entries/      EntryPlanner: the addresses that callers are told
*/
#ifndef AL_FLEET_AL_FLEET_H_
#define AL_FLEET_AL_FLEET_H_

#include "al_fleet/entries/entry_routers.h"
#include "al_fleet/membership/gossip_table.h"
#include "al_fleet/membership/membership.h"
#include "al_fleet/membership/neighbours.h"
#include "al_fleet/membership/vm_list.h"

#endif  // AL_FLEET_AL_FLEET_H_

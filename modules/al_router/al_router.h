/** Module al_router: the decisions of one router, from a caller's request to
   its bill.

    RouterCore takes events and the time and queues actions; it owns no socket,
   no clock and no random source. A daemon, a golden session and a bench run the
   same code.

    Depends on: al_core, al_actions, al_ledger, al_budget, al_config,
   al_traffic, al_fleet.

    Parts:
    - front/      RequestValidator: from an HTTP request to a checked
   IncomingRequest
    - requests/   RequestManager: the life of a request (tokens, claim,
   upstream, bill)
    - core/       RouterCore: all parts of a router wired together
    - state/      the state dump
*/
#ifndef AL_ROUTER_AL_ROUTER_H_
#define AL_ROUTER_AL_ROUTER_H_

#include "al_router/core/router_core.h"
#include "al_router/requests/request_manager.h"
#include "al_router/state/state_dump.h"
#include "al_router/validation/request_validator.h"

#endif  // AL_ROUTER_AL_ROUTER_H_

/** Module al_router: the decision code of one router, from a caller's request
   to its bill.

    RouterCore receives events with the current time and queues actions; it owns
   no socket and no clock, and its random choices follow from a seed. The
   daemon, the golden-file tests and the benchmarks run the same code.

    Depends on: al_core, al_actions, al_ledger, al_budget, al_config,
   al_traffic, al_fleet.

    Parts:
    - validation/ RequestValidator: checks an HTTP request and turns it into an
   IncomingRequest
    - requests/   RequestManager: the stages of a request (tokens, claim,
   upstream, bill)
    - core/       RouterCore: connects all parts of a router
    - state/      the state as JSON, for operators
*/
#ifndef AL_ROUTER_AL_ROUTER_H_
#define AL_ROUTER_AL_ROUTER_H_

#include "al_router/core/router_core.h"
#include "al_router/requests/request_manager.h"
#include "al_router/state/state_dump.h"
#include "al_router/validation/request_validator.h"

#endif  // AL_ROUTER_AL_ROUTER_H_

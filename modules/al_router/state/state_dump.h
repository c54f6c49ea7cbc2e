#ifndef AL_ROUTER_STATE_STATE_DUMP_H_
#define AL_ROUTER_STATE_STATE_DUMP_H_

#include <string>

#include "al_router/core/router_core.h"

namespace auburnloft {

/** The whole state of a router as JSON text, for operators.

    Holds no bearer keys and no bodies of requests.
*/
[[nodiscard]] auto DumpState(Instant now, const RouterCore& core)
    -> std::string;

}  // namespace auburnloft

#endif  // AL_ROUTER_STATE_STATE_DUMP_H_

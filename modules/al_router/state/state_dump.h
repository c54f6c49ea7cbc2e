#ifndef AL_ROUTER_STATE_STATE_DUMP_H_
#define AL_ROUTER_STATE_STATE_DUMP_H_

#include <string>

#include "al_router/core/router_core.h"

namespace auburnloft {

/** Returns the state of a router as JSON text, for operators. Contains no
 * bearer keys and no request bodies.
 */
[[nodiscard]] auto DumpState(Instant now, const RouterCore& core)
    -> std::string;

}  // namespace auburnloft

#endif  // AL_ROUTER_STATE_STATE_DUMP_H_

#ifndef AL_CORE_IDS_INCARNATION_H_
#define AL_CORE_IDS_INCARNATION_H_

#include <cstdint>

#include "al_core/ids/ids.h"

namespace auburnloft {

/** Joins a router's name, the time its process started and a random mark:
   `r1#1700000000000-9f2c`.

    Two lives of one router are ordered by their start; the mark tells apart two
   that claim the same millisecond.

    @pre  `router` is not empty and holds no `#`.
*/
[[nodiscard]] auto MakeIncarnation(const RouterId& router,
                                   std::int64_t started_at_ms,
                                   std::string_view mark) -> IncarnationId;

/** The router that `incarnation` is a life of; the whole text where it is none.
 */
[[nodiscard]] auto RouterOf(const IncarnationId& incarnation) -> RouterId;

/** When the process started, in Unix milliseconds; 0 where `incarnation` does
 * not tell. */
[[nodiscard]] auto StartedAtMs(const IncarnationId& incarnation)
    -> std::int64_t;

}  // namespace auburnloft

#endif  // AL_CORE_IDS_INCARNATION_H_

#ifndef AL_CORE_IDS_INCARNATION_H_
#define AL_CORE_IDS_INCARNATION_H_

#include <cstdint>

#include "al_core/ids/ids.h"

namespace auburnloft {

/** Builds an incarnation id from the router's name, the start time of its
   process and a random suffix: `r1#1700000000000-9f2c`.

    Incarnations of one router are ordered by start time. The suffix
   distinguishes two incarnations with the same start time.

    @pre `router` is not empty and does not contain `#`.
*/
[[nodiscard]] auto MakeIncarnation(const RouterId& router,
                                   std::int64_t started_at_ms,
                                   std::string_view suffix) -> IncarnationId;

/** The router of `incarnation`. Returns the whole text if it contains no `#`.
 */
[[nodiscard]] auto RouterOf(const IncarnationId& incarnation) -> RouterId;

/** The start time of the process in Unix milliseconds, or 0 if `incarnation`
   contains none. */
[[nodiscard]] auto StartedAtMs(const IncarnationId& incarnation)
    -> std::int64_t;

}  // namespace auburnloft

#endif  // AL_CORE_IDS_INCARNATION_H_

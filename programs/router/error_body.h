#ifndef PROGRAMS_ROUTER_ERROR_BODY_H_
#define PROGRAMS_ROUTER_ERROR_BODY_H_

#include <string>

#include "al_actions/refusal.h"
#include "al_edge/http/http_types.h"

namespace auburnloft {

/** Returns the JSON body of an error response. Its format is described in
    docs/API.md. */
[[nodiscard]] auto ErrorBodyOf(const Refusal& refusal) -> std::string;

/** Returns the headers of an error response: `retry-after` in whole seconds
    (rounded up) if a retry can help, otherwise none. */
[[nodiscard]] auto ErrorHeadersOf(const Refusal& refusal) -> HttpHeaders;

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_ERROR_BODY_H_

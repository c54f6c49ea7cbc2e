#ifndef PROGRAMS_ROUTER_ERROR_BODY_H_
#define PROGRAMS_ROUTER_ERROR_BODY_H_

#include <string>

#include "al_actions/refusal.h"
#include "al_edge/http/http_types.h"

namespace auburnloft {

/** The JSON body of an error, as docs/API.md describes it. */
[[nodiscard]] auto ErrorBodyOf(const Refusal& refusal) -> std::string;

/** The headers that go with it: when to come back. */
[[nodiscard]] auto ErrorHeadersOf(const Refusal& refusal) -> HttpHeaders;

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_ERROR_BODY_H_

#ifndef AL_GATEWAY_QUARANTINE_CRASH_SUSPECTS_H_
#define AL_GATEWAY_QUARANTINE_CRASH_SUSPECTS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/model/request_metadata.h"

namespace auburnloft::gateway {

/** What a request is, apart from its attempt: callers send the same request
   again with another attempt id and another deadline. */
struct RequestIdentity {
  std::string_view team;  ///< Empty for callers without a team.
  std::string_view host;  ///< In lower case, without the port.
  std::string_view method;
  std::string_view target;  ///< The path with its query.
  std::string_view body;
};

/** Returns the ids of the shared parts of a prompt that are tracked: the first
   few. The last part is not, as it belongs to one request or session. An id
   that is too long, is no text, or could be taken for a whole request is left
   out. */
[[nodiscard]] auto SharedPartsOf(std::span<const PromptPart> parts)
    -> std::vector<std::string>;

/** Returns the suspect that stands for a whole request. It is the same at all
   routers, and a caller cannot choose a request whose suspect is that of
   another team's request. */
[[nodiscard]] auto WholeRequestOf(const RequestIdentity& identity)
    -> std::string;

/** Returns whether a suspect stands for a whole request. */
[[nodiscard]] auto IsWholeRequest(std::string_view suspect) -> bool;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_QUARANTINE_CRASH_SUSPECTS_H_

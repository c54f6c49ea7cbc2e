#ifndef AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_
#define AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnloft {

/** The time in a version 7 UUID, in Unix milliseconds; empty if `key` is no
   such UUID.

    RFC 9562, section 5.7: the first 48 bits hold the time.
*/
[[nodiscard]] auto IssueTimeOfUuid(std::string_view key)
    -> std::optional<std::int64_t>;

/** Parses the header Idempotency-Issued-At, a whole number of Unix
 * milliseconds; empty if `text` is not one. */
[[nodiscard]] auto ParseIssueTime(std::string_view text)
    -> std::optional<std::int64_t>;

}  // namespace auburnloft

#endif  // AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_

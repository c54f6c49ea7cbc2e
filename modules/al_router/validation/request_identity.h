#ifndef AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_
#define AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnloft {

/** The time that a UUID of version 7 carries, in Unix milliseconds; empty for
   another text.

    Source: RFC 9562, section 5.7: the first 48 bits are the time.
*/
[[nodiscard]] auto IssueTimeOfUuid(std::string_view key)
    -> std::optional<std::int64_t>;

/** A whole number of Unix milliseconds as the header Idempotency-Issued-At
   carries it; empty where `text` is none. */
[[nodiscard]] auto ParseIssueTime(std::string_view text)
    -> std::optional<std::int64_t>;

}  // namespace auburnloft

#endif  // AL_ROUTER_VALIDATION_REQUEST_IDENTITY_H_

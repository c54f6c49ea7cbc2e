#ifndef AL_CORE_TEXT_BASE64_H_
#define AL_CORE_TEXT_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace auburnloft {

/** Encodes bytes as base64 with padding (RFC 4648, section 4). */
[[nodiscard]] auto ToBase64(std::string_view bytes) -> std::string;

/** Decodes base64 with padding. Returns nullopt if `text` is not base64. */
[[nodiscard]] auto FromBase64(std::string_view text)
    -> std::optional<std::string>;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_BASE64_H_

#ifndef AL_JSON_JSON_READING_H_
#define AL_JSON_JSON_READING_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnloft {

/** The largest whole number that a JSON number holds exactly. */
inline constexpr std::int64_t kMaxWholeNumber = (std::int64_t{1} << 53) - 1;

/** Parses a JSON text to read from it. Bytes that are no UTF-8 are replaced, so
   that they do not cost the rest of the text. @return a discarded value if it
   is no JSON. */
[[nodiscard]] auto ParseJson(std::string_view text) -> nlohmann::json;

/** Maximum nesting of arrays and objects that ParseStrictJson() takes: far
   above that of any document that is known. */
inline constexpr int kMaxJsonDepth = 100;

/** Parses a JSON text that may be copied or written again, which uses the stack
   for each level. @return a discarded value if it is no JSON, has bytes that
   are no UTF-8, or is nested more deeply than kMaxJsonDepth. */
[[nodiscard]] auto ParseStrictJson(std::string_view text) -> nlohmann::json;

/** The member `name` if it is a string. */
[[nodiscard]] auto FindText(const nlohmann::json& object, const char* name)
    -> std::optional<std::string>;

/** The member `name` if it is true or false. */
[[nodiscard]] auto FindBoolean(const nlohmann::json& object, const char* name)
    -> std::optional<bool>;

/** The member `name` if it is a whole number from `min` to `max`. */
[[nodiscard]] auto FindWhole(const nlohmann::json& object,
                             const char* name,
                             std::int64_t min,
                             std::int64_t max) -> std::optional<std::int64_t>;

/** The members of the array `name`; none if it is no array. */
[[nodiscard]] auto FindArray(const nlohmann::json& object, const char* name)
    -> const std::vector<nlohmann::json>&;

/** Whether there is a member `name` of any type but null. */
[[nodiscard]] auto HasMember(const nlohmann::json& object, const char* name)
    -> bool;

}  // namespace auburnloft

#endif  // AL_JSON_JSON_READING_H_

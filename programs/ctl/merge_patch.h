#ifndef PROGRAMS_CTL_JSON_DIFF_H_
#define PROGRAMS_CTL_JSON_DIFF_H_

#include <nlohmann/json.hpp>

namespace auburnloft {

/** Returns the smallest JSON merge patch (RFC 7396) that changes `from` to
   `to`.

    @pre both are objects.
*/
[[nodiscard]] auto MakeMergePatch(const nlohmann::json& from,
                                  const nlohmann::json& to) -> nlohmann::json;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_JSON_DIFF_H_

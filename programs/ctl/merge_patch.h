#ifndef PROGRAMS_CTL_JSON_DIFF_H_
#define PROGRAMS_CTL_JSON_DIFF_H_

#include <nlohmann/json.hpp>

namespace auburnloft {

/** The smallest merge patch that turns `from` into `to`. Source: RFC 7396.

    @pre both are objects.
*/
[[nodiscard]] auto MakeMergePatch(const nlohmann::json& from,
                                  const nlohmann::json& to) -> nlohmann::json;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_JSON_DIFF_H_

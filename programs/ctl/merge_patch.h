#ifndef PROGRAMS_CTL_MERGE_PATCH_H_
#define PROGRAMS_CTL_MERGE_PATCH_H_

#include <nlohmann/json.hpp>

namespace auburnloft {

/** Returns the smallest JSON merge patch (RFC 7396) that, applied to
   `from`, results in `to`.

    A merge patch uses null to remove a member, so it cannot set one to null: a
   null member that only `to` has is absent from the result.

    @pre both are objects.
*/
[[nodiscard]] auto MakeMergePatch(const nlohmann::json& from,
                                  const nlohmann::json& to) -> nlohmann::json;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_MERGE_PATCH_H_

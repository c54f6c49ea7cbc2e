#ifndef AL_CORE_TEXT_SPLIT_LIST_H_
#define AL_CORE_TEXT_SPLIT_LIST_H_

#include <string>
#include <vector>

namespace auburnloft {

/** The items of a comma-separated list; empty ones are left out. */
[[nodiscard]] auto SplitList(const std::string& text)
    -> std::vector<std::string>;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_SPLIT_LIST_H_

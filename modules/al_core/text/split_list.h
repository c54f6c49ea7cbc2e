#ifndef AL_CORE_TEXT_SPLIT_LIST_H_
#define AL_CORE_TEXT_SPLIT_LIST_H_

#include <string>
#include <vector>

namespace auburnloft {

/** Splits a comma-separated list. Empty items are skipped. */
[[nodiscard]] auto SplitList(const std::string& text)
    -> std::vector<std::string>;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_SPLIT_LIST_H_

#ifndef AL_CORE_TEXT_TEXT_FILE_H_
#define AL_CORE_TEXT_TEXT_FILE_H_

#include <string>

namespace auburnloft {

/** The contents of a file, or an empty text if it cannot be read. */
[[nodiscard]] auto ReadTextFile(const std::string& path) -> std::string;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_TEXT_FILE_H_

#ifndef AL_CORE_TEXT_TEXT_FILE_H_
#define AL_CORE_TEXT_TEXT_FILE_H_

#include <string>

namespace auburnloft {

/** All of a file; empty where it cannot be read. */
[[nodiscard]] auto ReadTextFile(const std::string& path) -> std::string;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_TEXT_FILE_H_

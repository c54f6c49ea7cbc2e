#ifndef SUPPORT_GOLDEN_FILE_H_
#define SUPPORT_GOLDEN_FILE_H_

#include <span>
#include <string>

namespace auburnloft::testing {

/** Compares lines with a golden file, or writes the file if the environment
   variable AUBURNLOFT_UPDATE_GOLDEN is set.
    @return empty if they are equal or the file was written, else the first
   difference with the line before it. */
[[nodiscard]] auto CompareWithGolden(std::span<const std::string> recorded,
                                     const std::string& path) -> std::string;

}  // namespace auburnloft::testing

#endif  // SUPPORT_GOLDEN_FILE_H_

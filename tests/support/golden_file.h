#ifndef SUPPORT_GOLDEN_FILE_H_
#define SUPPORT_GOLDEN_FILE_H_

#include <span>
#include <string>

namespace auburnloft::testing {

/** Compares lines with a golden file, or writes it where
   AUBURNLOFT_UPDATE_GOLDEN is set.
    @return empty where they agree, else the first difference with the lines
   around it. */
[[nodiscard]] auto CompareWithGolden(std::span<const std::string> recorded,
                                     const std::string& path) -> std::string;

}  // namespace auburnloft::testing

#endif  // SUPPORT_GOLDEN_FILE_H_

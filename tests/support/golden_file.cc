#include "support/golden_file.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

namespace auburnloft::testing {

auto CompareWithGolden(std::span<const std::string> recorded,
                       const std::string& path) -> std::string {
  if (std::getenv("AUBURNLOFT_UPDATE_GOLDEN") != nullptr) {
    std::ofstream file(path);
    for (const std::string& line : recorded) {
      file << line << "\n";
    }
    return {};
  }
  std::ifstream file(path);
  std::vector<std::string> expected;
  for (std::string line; std::getline(file, line);) {
    expected.push_back(line);
  }
  for (std::size_t i = 0; i < std::max(expected.size(), recorded.size()); ++i) {
    const std::string expected_line =
        i < expected.size() ? expected[i] : "(end)";
    const std::string recorded_line =
        i < recorded.size() ? recorded[i] : "(end)";
    if (expected_line != recorded_line) {
      std::ostringstream text;
      text << path << ":" << i + 1 << "\n"
           << (i > 0 ? "  " + expected[i - 1] + "\n" : "") << "- "
           << expected_line << "\n+ " << recorded_line
           << "\nregenerate: scripts/test --update-golden";
      return text.str();
    }
  }
  return {};
}

}  // namespace auburnloft::testing

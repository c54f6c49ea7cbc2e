/** Prints, for a planned stop in calm, what became of requests of each kind by
   the moment at which they were sent. Exits with 1 if any was cut. */
#include <array>
#include <cstdio>
#include <map>
#include <string>

#include "support/drain_play.h"

namespace {

using auburnloft::testing::DrainPlay;

/** By outcome. */
constexpr std::array<char, 5> kLetters = {'a', 'r', 'f', '-', 'X'};

}  // namespace

auto main() -> int {
  const DrainPlay::Settings settings;
  DrainPlay play(settings);
  std::map<std::pair<std::size_t, bool>, std::string> rows;
  std::map<std::size_t, std::array<int, kLetters.size()>> sums;
  for (const DrainPlay::Result& result : play.Run()) {
    const auto outcome = static_cast<std::size_t>(result.outcome);
    rows[{result.kind, result.is_kept}] += kLetters[outcome];
    ++sums[result.kind][outcome];
  }
  std::printf("a letter each 100 ms after the signal, grace period 8 s:\n");
  std::printf("a answered, r refused as not executed, f failed, ");
  std::printf("- closed before it was taken, X cut\n");
  for (const auto& [key, row] : rows) {
    std::printf("%-12s %-5s %s\n",
                std::string(DrainPlay::kKinds[key.first].name).c_str(),
                key.second ? "kept" : "new", row.c_str());
  }
  int cut = 0;
  for (const auto& [kind, counts] : sums) {
    std::printf(
        "%-12s answered %d, refused %d, failed %d, not taken %d, cut %d\n",
        std::string(DrainPlay::kKinds[kind].name).c_str(), counts[0], counts[1],
        counts[2], counts[3], counts[4]);
    cut += counts[4];
  }
  return cut == 0 ? 0 : 1;
}

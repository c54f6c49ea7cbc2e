#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "support/fault_schedule.h"

/** Runs fault schedules by their seeds and prints the outcome of each. Exits
 * with 1 if a guarantee was violated. */
auto main(int argc, char** argv) -> int {
  auburnloft::SettingsReader settings(
      "Runs one random fault schedule per seed in virtual time.");
  settings.DeclareInteger("seed", "first seed", 1, 0, 1'000'000'000);
  settings.DeclareInteger("count", "number of consecutive seeds", 1, 1,
                          1'000'000);
  settings.DeclareSwitch("faults", "print the faults of each schedule");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  int failed = 0;
  const auto first = static_cast<std::uint64_t>(settings.Integer("seed"));
  const auto count = static_cast<std::uint64_t>(settings.Integer("count"));
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auburnloft::testing::FaultSchedule::Outcome outcome =
        auburnloft::testing::FaultSchedule(seed).Run();
    if (settings.Switch("faults")) {
      for (const std::string& fault : outcome.faults) {
        std::cout << "  " << fault << "\n";
      }
    }
    failed += outcome.violation.empty() ? 0 : 1;
    std::cout << "seed " << seed << ": "
              << (outcome.violation.empty() ? "held" : outcome.violation)
              << "; steps " << outcome.steps << ", requests "
              << outcome.requests << ", answered " << outcome.answered
              << ", unbilled " << outcome.unbilled << ", stranded "
              << outcome.stranded << "\n";
  }
  return failed == 0 ? 0 : 1;
}

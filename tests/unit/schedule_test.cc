#include "support/fault_schedule.h"
#include "support/test_harness.h"

using auburnloft::testing::FaultSchedule;

TEST_GROUP(FaultSchedules){};

/** All invariants hold under many schedules of overlapping faults. A violated
   invariant prints the command that replays its seed. */
TEST(FaultSchedules, HoldForEverySeed) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FaultSchedule::Outcome outcome = FaultSchedule(seed).Run();
    const std::string text =
        outcome.violation +
        "\nreplay: build/release/auburnloft-schedule --faults --seed " +
        std::to_string(seed);
    CHECK_TRUE_TEXT(outcome.violation.empty(), text.c_str());
    // The invariants would also hold if the faults blocked nearly all requests,
    // so a quarter of them must get a response.
    CHECK_TRUE(outcome.answered > outcome.requests / 4);
  }
}

/** Two runs with the same seed have as many steps and responses, and the same
   faults. Otherwise, the seed of a failure would not reproduce it. */
TEST(FaultSchedules, AreDeterministic) {
  const FaultSchedule::Outcome first = FaultSchedule(7).Run();
  const FaultSchedule::Outcome second = FaultSchedule(7).Run();
  CHECK_EQUAL(first.steps, second.steps);
  CHECK_EQUAL(first.answered, second.answered);
  CHECK_TRUE(first.faults == second.faults);
}

// Budgets without a keeper: the load and fault patterns that they must bear.
#include "support/allowance_fleet.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto Entry(const char* holder, std::uint64_t taken) -> AllowanceEntry {
  AllowanceEntry entry;
  entry.team = "team";
  entry.holder = holder;
  entry.taken_tokens = taken;
  return entry;
}

auto AloneInTheFleet() -> FleetView {
  FleetView view;
  view.holds_reserve = [](std::string_view /*team*/) { return true; };
  view.is_alive = [](std::string_view /*holder*/) { return true; };
  return view;
}

/** Writes a desk's first allowance of 1,000 tokens and reads it back. */
auto TakeFirstAllowance(AllowanceDesk& desk, AllowanceLedger& ledger) -> void {
  desk.SetBudget("team", 1'000);
  const auto entries =
      desk.Plan(ledger, AloneInTheFleet(), false, FromUnixMillis(1'000));
  ledger.Apply(entries.front());
  desk.OnRecorded(entries.front(), ledger.Taken("team"));
}

}  // namespace

TEST_GROUP(Allowance) {
  AllowanceFleet::Settings settings;
};

TEST(Allowance, SumsTheNewestEntryOfEachHolder) {
  AllowanceLedger ledger;
  ledger.Apply(Entry("a", 100));
  ledger.Apply(Entry("b", 50));
  ledger.Apply(Entry("a", 70));
  CHECK_EQUAL(120, ledger.Taken("team"));
}

TEST(Allowance, SpendsOnlyWhatWasReadBackAndFits) {
  AllowanceDesk desk("a", AllowanceSettings());
  AllowanceLedger ledger;
  desk.SetBudget("team", 1'000);
  const Instant now = FromUnixMillis(1'000);
  auto entries = desk.Plan(ledger, AloneInTheFleet(), false, now);
  CHECK_EQUAL(1, entries.size());
  CHECK_FALSE(desk.TryReserve("team", 1, true, now));
  // Another holder took all of the budget before this entry.
  ledger.Apply(Entry("b", 1'000));
  ledger.Apply(entries.front());
  desk.OnRecorded(entries.front(), ledger.Taken("team"));
  CHECK_FALSE(desk.TryReserve("team", 1, false, now));
  // The invalid entry is withdrawn, so that it does not block others.
  entries = desk.Plan(ledger, AloneInTheFleet(), false, now);
  CHECK_EQUAL(1, entries.size());
  CHECK_EQUAL(0, entries.front().taken_tokens);
}

TEST(Allowance, LowersWhatItMaySpendBeforeItWritesAReturn) {
  AllowanceDesk desk("a", AllowanceSettings());
  AllowanceLedger ledger;
  TakeFirstAllowance(desk, ledger);
  CHECK_TRUE(desk.Available("team") > 0);
  const auto returned = desk.PlanReturn();
  CHECK_EQUAL(0, returned.front().taken_tokens);
  CHECK_EQUAL(0, desk.Available("team"));
}

TEST(Allowance, CountsAGiftAsSpentByTheGiver) {
  AllowanceDesk giver("a", AllowanceSettings());
  AllowanceLedger ledger;
  TakeFirstAllowance(giver, ledger);
  const std::uint64_t before = giver.Available("team");
  const std::uint64_t given = giver.Give("team", 40, FromUnixMillis(1'000));
  CHECK_EQUAL(40, given);
  CHECK_EQUAL(before - given, giver.Available("team"));
  // The entry that returns everything still covers the gift.
  CHECK_EQUAL(given, giver.PlanReturn().front().taken_tokens);
}

TEST(Allowance, ForgetsUnrecordedRaisesWhenTheHistoryIsLost) {
  AllowanceDesk desk("a", AllowanceSettings());
  AllowanceLedger ledger;
  desk.SetBudget("team", 1'000);
  const auto entries =
      desk.Plan(ledger, AloneInTheFleet(), false, FromUnixMillis(1'000));
  desk.OnHistoryLost();
  ledger.Apply(entries.front());
  desk.OnRecorded(entries.front(), ledger.Taken("team"));
  CHECK_EQUAL(0, desk.Available("team"));
}

// All routers are cut off from the log for 9 s while the team sends 2.6 times
// its usual.
TEST(Allowance, NeverOverspendsWhileAllAreCutOffUnderAHotTeam) {
  this->settings.budget = 2'000'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(8));
  fleet.SetDemand(2.6);
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(9));
  fleet.SetLogCut(-1, false);
  fleet.Run(seconds(8));
  CHECK_FALSE(fleet.report().overspent);
  // What was in hand covered at least the usual demand of the cut.
  CHECK_TRUE(fleet.report().refused_despite_budget * 2 <
             fleet.report().requests);
}

// The usual demand through a cut of 8 s: routers help each other out.
TEST(Allowance, BearsACutOfAllUnderTheUsualDemand) {
  this->settings.budget = 3'000'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(8));
  const std::uint64_t before = fleet.report().refused;
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(8));
  CHECK_TRUE((fleet.report().refused - before) * 50 < fleet.report().requests);
}

// Load pattern: many routers, each with few requests of the team, all cut off.
TEST(Allowance, BearsACutOfAllInALargeFleetByAFewHoldersOfTheReserve) {
  this->settings.routers = 85;
  this->settings.budget = 3'000'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(8));
  const std::uint64_t before = fleet.report().refused;
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(8));
  CHECK_TRUE((fleet.report().refused - before) * 50 < fleet.report().requests);
  CHECK_FALSE(fleet.report().overspent);
}

TEST(Allowance, NeverOverspendsAfterATotalLoss) {
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(10));
  fleet.Kill(-1);
  fleet.Run(seconds(20));
  fleet.Kill(-1);
  fleet.Run(seconds(20));
  CHECK_FALSE(fleet.report().overspent);
  // What a loss strands stays a part of the budget.
  CHECK_TRUE(fleet.report().stranded < this->settings.budget * 7 / 10);
}

TEST(Allowance, NeverOverspendsWithLostAndLateAppends) {
  this->settings.reply_loss_probability = 0.3;
  this->settings.late_append_probability = 0.3;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->settings.seed = seed;
    AllowanceFleet fleet(this->settings);
    fleet.Run(seconds(40));
    CHECK_FALSE(fleet.report().overspent);
  }
}

// A router pauses with an allowance, others take over, and it wakes up.
TEST(Allowance, NeverOverspendsWhenAPausedRouterWakes) {
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(6));
  fleet.SetPaused(2, true);
  fleet.Run(seconds(30));
  fleet.SetPaused(2, false);
  fleet.SetDemand(3.0);
  fleet.Run(seconds(20));
  CHECK_FALSE(fleet.report().overspent);
}

// Seeded mixes of all of it. A seed that ever failed is added by number.
TEST(Allowance, NeverOverspendsUnderSeededFaults) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RandomSource random(seed);
    this->settings.seed = seed;
    this->settings.reply_loss_probability = 0.2;
    this->settings.late_append_probability = 0.2;
    AllowanceFleet fleet(this->settings);
    for (int i = 0; i < 30; ++i) {
      const int router = static_cast<int>(random.Below(6));
      switch (random.Below(8)) {
        case 0:
          fleet.Kill(router);
          break;
        case 1:
          fleet.Kill(-1);
          break;
        case 2:
          fleet.SetLogCut(-1, true);
          break;
        case 3:
          fleet.SetLogCut(router, true);
          break;
        case 4:
          fleet.SetPaused(router, random.Chance(0.5));
          break;
        case 5:
          fleet.SetDemand(0.5 + random.Unit() * 3.0);
          break;
        case 6:
          fleet.TopUp(20'000);
          break;
        default:
          fleet.SetLogCut(-1, false);
          break;
      }
      fleet.Run(milliseconds(100 + random.Below(2'000)));
    }
    CHECK_FALSE(fleet.report().overspent);
  }
}

// The checker sees a fault that is put in: gifts that cost the giver nothing.
TEST(Allowance, FindsAFaultThatIsPutIn) {
  this->settings.debits_sender = false;
  this->settings.budget = 300'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(4));
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(30));
  CHECK_TRUE(fleet.report().overspent);
}

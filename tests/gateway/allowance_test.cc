// Prepaid budgets that routers share through the log service, without a keeper
// (the leader of a ledger partition): the load and fault patterns under which
// they must hold.
#include "support/allowance_fleet.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto MakeEntry(const char* holder, std::uint64_t taken) -> AllowanceEntry {
  AllowanceEntry entry;
  entry.team = "team";
  entry.holder = holder;
  entry.taken_tokens = taken;
  return entry;
}

auto SingleRouterView() -> FleetStatus {
  FleetStatus view;
  view.holds_reserve = [](std::string_view /*team*/) { return true; };
  view.is_active = [](std::string_view /*holder*/) { return true; };
  return view;
}

/** Writes the manager's first entry for a budget of 1,000 tokens and reads it
   back. */
auto TakeFirstAllowance(AllowanceManager& manager, AllowanceLedger& ledger)
    -> void {
  manager.SetBudget("team", 1'000);
  const auto entries = manager.PlanEntries(ledger, SingleRouterView(), false,
                                           FromUnixMillis(1'000));
  ledger.Apply(entries.front());
  manager.OnRecorded(entries.front(), ledger.Taken("team"));
}

}  // namespace

TEST_GROUP(Allowance) {
  AllowanceFleet::Settings settings;
};

TEST(Allowance, SumsTheNewestEntryOfEachHolder) {
  AllowanceLedger ledger;
  ledger.Apply(MakeEntry("a", 100));
  ledger.Apply(MakeEntry("b", 50));
  ledger.Apply(MakeEntry("a", 70));
  CHECK_EQUAL(120, ledger.Taken("team"));
}

TEST(Allowance, SpendsOnlyWhatWasReadBackAndFits) {
  AllowanceManager manager("a", AllowanceSizing());
  AllowanceLedger ledger;
  manager.SetBudget("team", 1'000);
  const Instant now = FromUnixMillis(1'000);
  auto entries = manager.PlanEntries(ledger, SingleRouterView(), false, now);
  CHECK_EQUAL(1, entries.size());
  CHECK_FALSE(manager.TryReserve("team", 1, true, now));
  // Another holder's entry, which takes the whole budget, precedes this one.
  ledger.Apply(MakeEntry("b", 1'000));
  ledger.Apply(entries.front());
  manager.OnRecorded(entries.front(), ledger.Taken("team"));
  CHECK_FALSE(manager.TryReserve("team", 1, false, now));
  // The invalid entry is reset to 0, so that it does not block other holders.
  entries = manager.PlanEntries(ledger, SingleRouterView(), false, now);
  CHECK_EQUAL(1, entries.size());
  CHECK_EQUAL(0, entries.front().taken_tokens);
}

TEST(Allowance, LowersWhatItMaySpendBeforeItWritesAReturn) {
  AllowanceManager manager("a", AllowanceSizing());
  AllowanceLedger ledger;
  TakeFirstAllowance(manager, ledger);
  CHECK_TRUE(manager.Available("team") > 0);
  const auto returned = manager.PlanReturnEntries();
  CHECK_EQUAL(0, returned.front().taken_tokens);
  CHECK_EQUAL(0, manager.Available("team"));
}

TEST(Allowance, CountsATransferAsSpentByTheSender) {
  AllowanceManager sender("a", AllowanceSizing());
  AllowanceLedger ledger;
  TakeFirstAllowance(sender, ledger);
  const std::uint64_t before = sender.Available("team");
  const std::uint64_t sent =
      sender.TransferOut("team", 40, FromUnixMillis(1'000));
  CHECK_EQUAL(40, sent);
  CHECK_EQUAL(before - sent, sender.Available("team"));
  // The entry that returns all unspent tokens still covers the transfer.
  CHECK_EQUAL(sent, sender.PlanReturnEntries().front().taken_tokens);
}

TEST(Allowance, DiscardsUnrecordedIncreasesWhenTheHistoryIsLost) {
  AllowanceManager manager("a", AllowanceSizing());
  AllowanceLedger ledger;
  manager.SetBudget("team", 1'000);
  const auto entries = manager.PlanEntries(ledger, SingleRouterView(), false,
                                           FromUnixMillis(1'000));
  manager.OnHistoryLost();
  ledger.Apply(entries.front());
  manager.OnRecorded(entries.front(), ledger.Taken("team"));
  CHECK_EQUAL(0, manager.Available("team"));
}

// All routers are cut off from the log for 9 s while the team sends 2.6 times
// its usual demand. Routers that spent without the log what others hold would
// exceed the budget together.
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
  // Fewer than half of the requests were refused although the budget covered
  // them: the allowances served at least the usual demand of the outage.
  CHECK_TRUE(fleet.report().refused_despite_budget * 2 <
             fleet.report().requests);
}

// All routers are cut off from the log for 8 s under the usual demand. A router
// whose allowance is used up must get transfers from the others, rather than
// refuse requests.
TEST(Allowance, ServesTheUsualDemandWhileAllAreCutOff) {
  this->settings.budget = 3'000'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(8));
  const std::uint64_t before = fleet.report().refused;
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(8));
  CHECK_TRUE((fleet.report().refused - before) * 50 < fleet.report().requests);
}

// Load pattern: many routers, each with few requests of the team, all cut off
// from the log. A reserve split evenly over all routers would leave no share
// large enough for a request, so a few routers hold the reserve.
TEST(Allowance, ServesALargeFleetFromAFewReserveHoldersWhileAllAreCutOff) {
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
  // Tokens that lost incarnations held stay below a fixed part of the budget.
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

// A router pauses while it holds an allowance, the other routers take over its
// load, and it resumes. It must not spend more than its entries still cover.
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

// Random mixes of the faults above. A seed that ever failed is added by number.
TEST(Allowance, NeverOverspendsUnderSeededFaults) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RandomSource random(seed);
    this->settings.seed = seed;
    this->settings.reply_loss_probability = 0.2;
    this->settings.late_append_probability = 0.2;
    AllowanceFleet fleet(this->settings);
    for (int i = 0; i < 30; ++i) {
      const int router = static_cast<int>(random.UniformBelow(6));
      switch (random.UniformBelow(8)) {
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
          fleet.SetPaused(router, random.Bernoulli(0.5));
          break;
        case 5:
          fleet.SetDemand(0.5 + random.UniformDouble() * 3.0);
          break;
        case 6:
          fleet.TopUp(20'000);
          break;
        default:
          fleet.SetLogCut(-1, false);
          break;
      }
      fleet.Run(milliseconds(100 + random.UniformBelow(2'000)));
    }
    CHECK_FALSE(fleet.report().overspent);
  }
}

// Injects a fault, transfers that are not charged to their sender, and checks
// that AllowanceFleet reports the overspending.
TEST(Allowance, DetectsTransfersThatAreNotChargedToTheSender) {
  this->settings.debits_sender = false;
  this->settings.budget = 300'000;
  AllowanceFleet fleet(this->settings);
  fleet.Run(seconds(4));
  fleet.SetLogCut(-1, true);
  fleet.Run(seconds(30));
  CHECK_TRUE(fleet.report().overspent);
}

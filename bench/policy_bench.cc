#include "bench/policy_bench.h"

#include <array>
#include <cmath>

#include "al_fleet/entries/entry_planner.h"

namespace auburnloft::bench {

namespace {

using nlohmann::json;
using testing::CallerRecord;
using testing::VirtualFleet;

constexpr std::size_t kRouters = 6;
constexpr double kRequestsPerSecond = 15.0;
constexpr Tokens kLeastUpper = 200;
constexpr Tokens kMostUpper = 600;
constexpr std::size_t kEntries = 2;
constexpr int kSnapshotEvery = 2000;
constexpr Duration kDeathInterval = std::chrono::seconds(60);
constexpr Duration kReplacedAfter = std::chrono::seconds(5);
constexpr Duration kWarmUp = std::chrono::seconds(3);

/** The teams and their shares of the requests: one large, some small, as the
 * users have them. */
struct TeamShare {
  const char* name;
  double share;
};
constexpr std::array<TeamShare, 4> kTeams = {
    {{"large", 0.55}, {"middle", 0.25}, {"small", 0.15}, {"tiny", 0.05}}};

auto BudgetOf(const Situation& situation, double share) -> Tokens {
  return static_cast<Tokens>(situation.budget_ratio * share *
                             WantedTokensPerSecond() *
                             ToSeconds(situation.span));
}

auto FleetOptions(const PolicyCase& policy,
                  const Situation& situation,
                  std::uint64_t seed) -> VirtualFleet::Options {
  VirtualFleet::Options options;
  options.seed = seed;
  options.routers = kRouters;
  for (const TeamShare& team : kTeams) {
    options.budgets[team.name] = BudgetOf(situation, team.share);
  }
  options.configuration["defaults"]["allowance"] = policy.allowance;
  options.configuration["defaults"]["ledger"]["snapshot_every_records"] =
      kSnapshotEvery;
  return options;
}

}  // namespace

auto WantedTokensPerSecond() -> double {
  // The true cost of a request lies evenly between half of its upper bound and
  // the whole.
  constexpr double kCostOfUpper = 0.75;
  return kRequestsPerSecond * kCostOfUpper *
         static_cast<double>(kLeastUpper + kMostUpper) / 2.0;
}

PolicyBench::PolicyBench(const PolicyCase& policy,
                         const Situation& situation,
                         std::uint64_t seed)
    : policy(policy),
      situation(situation),
      chance(seed * 31 + 7),
      fleet(FleetOptions(policy, situation, seed)),
      checker(fleet),
      start(fleet.queue.Now()),
      budget(BudgetOf(situation, 1.0)) {
  this->fleet.max_tries = 3;
  this->fleet.on_end = [this](const CallerRecord& caller) {
    this->OnEnd(caller);
  };
}

auto PolicyBench::Run() -> Result {
  this->fleet.RunFor(kWarmUp);
  this->start = this->fleet.queue.Now();
  const std::uint64_t appends_before = this->fleet.log.appends();
  this->ScheduleRequest();
  this->ScheduleFaults();
  // Money is checked each second of virtual time; each step would take hours.
  while (this->Elapsed() < this->situation.span) {
    this->fleet.RunFor(std::chrono::seconds(1));
    this->checker.Check();
  }
  Result result;
  result.violation = this->checker.violation();
  result.requests = this->fleet.callers.size();
  for (const CallerRecord& caller : this->fleet.callers) {
    result.refused += caller.refusal ? 1 : 0;
  }
  for (const TeamShare& team : kTeams) {
    const Tokens over =
        this->spent[TeamId(team.name)] - BudgetOf(this->situation, team.share);
    result.overspend += std::max<Tokens>(0, over);
  }
  result.false_refusals_per_10k = 1e4 *
                                  static_cast<double>(this->false_refusals) /
                                  static_cast<double>(result.requests);
  result.stranded = this->checker.Stranded();
  result.stranded_share =
      static_cast<double>(result.stranded) / static_cast<double>(this->budget);
  std::uint64_t bytes = 0;
  for (const VirtualFleet::Node& node : this->fleet.nodes) {
    bytes += node.peer_bytes;
  }
  const double seconds = ToSeconds(this->situation.span);
  result.peer_bytes_per_node_second =
      static_cast<double>(bytes) / kRouters / seconds;
  result.appends_per_second =
      static_cast<double>(this->fleet.log.appends() - appends_before) / seconds;
  return result;
}

auto PolicyBench::ScheduleRequest() -> void {
  const double gap = -std::log(1.0 - this->chance.Unit()) / kRequestsPerSecond;
  this->fleet.queue.After(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
      [this] {
        if (this->Elapsed() < this->situation.span) {
          this->SendRequest();
          this->ScheduleRequest();
        }
      });
}

auto PolicyBench::PickRouter(const TeamId& team) -> std::size_t {
  if (this->situation.follows_sun) {
    // Three phases: the callers are near the routers of one domain after the
    // other.
    const auto phase = static_cast<std::size_t>(
        3 * ToSeconds(this->Elapsed()) / ToSeconds(this->situation.span));
    return phase + 3 * this->chance.Below(kRouters / 3);
  }
  if (this->policy.spreads_callers) {
    return this->chance.Below(kRouters);
  }
  for (const VirtualFleet::Node& node : this->fleet.nodes) {
    if (node.core == nullptr) {
      continue;
    }
    const std::vector<Vm> entries =
        PlanEntries(team, node.core->membership(), kEntries);
    const std::string name = entries[this->chance.Below(entries.size())].name;
    return static_cast<std::size_t>(std::stoi(name.substr(1)));
  }
  return 0;
}

auto PolicyBench::SendRequest() -> void {
  double point = this->chance.Unit();
  std::size_t place = 0;
  while (place + 1 < kTeams.size() && point >= kTeams.at(place).share) {
    point -= kTeams.at(place++).share;
  }
  const TeamId team(kTeams.at(place).name);
  const Tokens upper =
      kLeastUpper + static_cast<Tokens>(this->chance.Below(
                        static_cast<std::uint64_t>(kMostUpper - kLeastUpper)));
  this->reserved[team] += upper;
  const std::size_t router = this->PickRouter(team);
  this->fleet.Send(router, this->fleet.MakeRequest(
                               team.value(),
                               "key-" + std::to_string(this->next_key++), upper,
                               /*at_most_once=*/false));
}

auto PolicyBench::OnEnd(const CallerRecord& caller) -> void {
  const TeamId& team = caller.arrival.team;
  this->reserved[team] -= caller.arrival.upper;
  if (caller.answered) {
    this->spent[team] += caller.spent;
    return;
  }
  const bool for_budget =
      caller.refusal &&
      (caller.refusal->code == RefusalCode::kBudgetExhausted ||
       caller.refusal->code == RefusalCode::kBudgetUnavailable);
  double share = 0.0;
  for (const TeamShare& item : kTeams) {
    share = team.value() == item.name ? item.share : share;
  }
  const Tokens left = BudgetOf(this->situation, share) - this->spent[team] -
                      this->reserved[team];
  this->false_refusals += for_budget && left >= caller.arrival.upper ? 1 : 0;
}

auto PolicyBench::ScheduleFaults() -> void {
  if (this->situation.partition) {
    this->fleet.queue.After(this->situation.span / 6, [this] {
      for (std::size_t left = 0; left < kRouters / 2; ++left) {
        this->fleet.CutLog(left);
        for (std::size_t right = kRouters / 2; right < kRouters; ++right) {
          this->fleet.CutLink(left, right);
          this->fleet.CutLink(right, left);
        }
      }
    });
    this->fleet.queue.After(this->situation.span * 5 / 6,
                            [this] { this->fleet.RestoreLinks(); });
  }
  if (this->situation.routers_die) {
    this->fleet.queue.After(kDeathInterval, [this] { this->KillOne(); });
  }
}

auto PolicyBench::KillOne() -> void {
  const std::size_t victim = this->chance.Below(kRouters);
  this->checker.BeforeKill(victim);
  this->fleet.Kill(victim);
  this->fleet.queue.After(kReplacedAfter,
                          [this, victim] { this->fleet.Start(victim); });
  if (this->Elapsed() + kDeathInterval < this->situation.span) {
    this->fleet.queue.After(kDeathInterval, [this] { this->KillOne(); });
  }
}

}  // namespace auburnloft::bench

#include "bench/policy_bench.h"

#include <array>
#include <cmath>

#include "al_fleet/entries/entry_routers.h"

namespace auburnloft::bench {

namespace {

using nlohmann::json;
using testing::CallerRecord;
using testing::VirtualFleet;

constexpr std::size_t kRouters = 6;
constexpr double kRequestsPerSecond = 15.0;
constexpr Tokens kMinRequestTokens = 200;
constexpr Tokens kMaxRequestTokens = 600;
constexpr std::size_t kEntries = 2;
constexpr int kSnapshotEvery = 2000;
constexpr Duration kFailureInterval = std::chrono::seconds(60);
constexpr Duration kReplacementDelay = std::chrono::seconds(5);
constexpr Duration kWarmUp = std::chrono::seconds(3);

/** The teams and their shares of the requests. Real deployments also have one
 * large team and several small ones. */
struct TeamShare {
  const char* name;
  double share;
};
constexpr std::array<TeamShare, 4> kTeams = {
    {{"large", 0.55}, {"middle", 0.25}, {"small", 0.15}, {"tiny", 0.05}}};

auto BudgetOf(const Scenario& scenario, double share) -> Tokens {
  return static_cast<Tokens>(scenario.budget_ratio * share *
                             ExpectedTokensPerSecond() *
                             ToSeconds(scenario.duration));
}

auto FleetOptions(const PolicyCase& policy,
                  const Scenario& scenario,
                  std::uint64_t seed) -> VirtualFleet::Options {
  VirtualFleet::Options options;
  options.seed = seed;
  options.routers = kRouters;
  for (const TeamShare& team : kTeams) {
    options.budgets[team.name] = BudgetOf(scenario, team.share);
  }
  options.configuration["defaults"]["allowance"] = policy.allowance;
  options.configuration["defaults"]["ledger"]["snapshot_every_records"] =
      kSnapshotEvery;
  return options;
}

}  // namespace

auto ExpectedTokensPerSecond() -> double {
  // The actual cost of a request is distributed evenly between half of its
  // upper bound and the bound.
  constexpr double kMeanCostShare = 0.75;
  return kRequestsPerSecond * kMeanCostShare *
         static_cast<double>(kMinRequestTokens + kMaxRequestTokens) / 2.0;
}

PolicyBench::PolicyBench(const PolicyCase& policy,
                         const Scenario& scenario,
                         std::uint64_t seed)
    : policy(policy),
      scenario(scenario),
      random(seed * 31 + 7),
      fleet(FleetOptions(policy, scenario, seed)),
      checker(fleet),
      start(fleet.queue.Now()),
      budget(BudgetOf(scenario, 1.0)) {
  this->fleet.max_tries = 3;
  this->fleet.on_end = [this](const CallerRecord& caller) {
    this->OnRequestEnd(caller);
  };
}

auto PolicyBench::Run() -> Result {
  this->fleet.RunFor(kWarmUp);
  this->start = this->fleet.queue.Now();
  const std::uint64_t appends_before = this->fleet.log.appends();
  this->ScheduleRequest();
  this->ScheduleFaults();
  // The token accounts are checked once per second of virtual time; a check
  // after each step would take hours.
  while (this->Elapsed() < this->scenario.duration) {
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
    const Tokens excess =
        this->spent[TeamId(team.name)] - BudgetOf(this->scenario, team.share);
    result.overspend += std::max<Tokens>(0, excess);
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
  const double seconds = ToSeconds(this->scenario.duration);
  result.peer_bytes_per_router_per_second =
      static_cast<double>(bytes) / kRouters / seconds;
  result.log_appends_per_second =
      static_cast<double>(this->fleet.log.appends() - appends_before) / seconds;
  return result;
}

auto PolicyBench::ScheduleRequest() -> void {
  const double gap =
      -std::log(1.0 - this->random.UniformDouble()) / kRequestsPerSecond;
  this->fleet.queue.After(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
      [this] {
        if (this->Elapsed() < this->scenario.duration) {
          this->SendRequest();
          this->ScheduleRequest();
        }
      });
}

auto PolicyBench::PickRouter(const TeamId& team) -> std::size_t {
  if (this->scenario.callers_move) {
    // Three phases: in each, the callers use the routers of another failure
    // domain.
    const auto phase = static_cast<std::size_t>(
        3 * ToSeconds(this->Elapsed()) / ToSeconds(this->scenario.duration));
    return phase + 3 * this->random.UniformBelow(kRouters / 3);
  }
  if (this->policy.callers_use_all_routers) {
    return this->random.UniformBelow(kRouters);
  }
  for (const VirtualFleet::Node& node : this->fleet.nodes) {
    if (node.core == nullptr) {
      continue;
    }
    const std::vector<Vm> entries =
        SelectEntryRouters(team, node.core->membership(), kEntries);
    const std::string name =
        entries[this->random.UniformBelow(entries.size())].name;
    return static_cast<std::size_t>(std::stoi(name.substr(1)));
  }
  return 0;
}

auto PolicyBench::SendRequest() -> void {
  double point = this->random.UniformDouble();
  std::size_t index = 0;
  while (index + 1 < kTeams.size() && point >= kTeams.at(index).share) {
    point -= kTeams.at(index++).share;
  }
  const TeamId team(kTeams.at(index).name);
  const Tokens upper =
      kMinRequestTokens +
      static_cast<Tokens>(this->random.UniformBelow(
          static_cast<std::uint64_t>(kMaxRequestTokens - kMinRequestTokens)));
  this->reserved[team] += upper;
  const std::size_t router = this->PickRouter(team);
  this->fleet.Send(router,
                   this->fleet.MakeRequest(
                       team.value(),
                       "key-" + std::to_string(this->next_request_key++), upper,
                       /*at_most_once=*/false));
}

auto PolicyBench::OnRequestEnd(const CallerRecord& caller) -> void {
  const TeamId& team = caller.arrival.team;
  this->reserved[team] -= caller.arrival.upper;
  if (caller.answered) {
    this->spent[team] += caller.spent;
    return;
  }
  const bool is_budget_refusal =
      caller.refusal &&
      (caller.refusal->code == RefusalCode::kBudgetExhausted ||
       caller.refusal->code == RefusalCode::kBudgetUnavailable);
  double share = 0.0;
  for (const TeamShare& item : kTeams) {
    share = team.value() == item.name ? item.share : share;
  }
  const Tokens remaining = BudgetOf(this->scenario, share) - this->spent[team] -
                           this->reserved[team];
  this->false_refusals +=
      is_budget_refusal && remaining >= caller.arrival.upper ? 1 : 0;
}

auto PolicyBench::ScheduleFaults() -> void {
  if (this->scenario.network_is_partitioned) {
    this->fleet.queue.After(this->scenario.duration / 6, [this] {
      for (std::size_t left = 0; left < kRouters / 2; ++left) {
        this->fleet.CutLog(left);
        for (std::size_t right = kRouters / 2; right < kRouters; ++right) {
          this->fleet.CutLink(left, right);
          this->fleet.CutLink(right, left);
        }
      }
    });
    this->fleet.queue.After(this->scenario.duration * 5 / 6,
                            [this] { this->fleet.RestoreLinks(); });
  }
  if (this->scenario.routers_fail) {
    this->fleet.queue.After(kFailureInterval,
                            [this] { this->KillRandomRouter(); });
  }
}

auto PolicyBench::KillRandomRouter() -> void {
  const std::size_t victim = this->random.UniformBelow(kRouters);
  this->checker.BeforeKill(victim);
  this->fleet.Kill(victim);
  this->fleet.queue.After(kReplacementDelay,
                          [this, victim] { this->fleet.Start(victim); });
  if (this->Elapsed() + kFailureInterval < this->scenario.duration) {
    this->fleet.queue.After(kFailureInterval,
                            [this] { this->KillRandomRouter(); });
  }
}

}  // namespace auburnloft::bench

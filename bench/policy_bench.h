#ifndef BENCH_POLICY_BENCH_H_
#define BENCH_POLICY_BENCH_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "support/invariant_checker.h"
#include "support/virtual_fleet.h"

namespace auburnloft::bench {

/** A policy of allowances under comparison. */
struct PolicyCase {
  std::string name;
  nlohmann::json allowance;  ///< The configuration's `allowance`.
  bool spreads_callers =
      false;  ///< Callers use all routers, not the entry list.
};

/** What happens while callers spend. */
struct Situation {
  std::string name;
  Duration span = std::chrono::minutes(10);
  double budget_ratio =
      3.0;  ///< The budget, as a multiple of what callers want to spend.
  bool follows_sun = false;  ///< Callers move from domain to domain.
  bool partition = false;    ///< Half of the routers are cut off from the rest
                             ///< and from the log.
  bool routers_die = false;  ///< One a minute.
};

/** One policy in one situation: a fleet of six routers in virtual time. */
class PolicyBench {
 public:
  struct Result {
    Tokens overspend = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    double false_refusals_per_10k = 0.0;
    Tokens stranded = 0;          ///< Out with routers that died, at the end.
    double stranded_share = 0.0;  ///< Of the budget.
    double peer_bytes_per_node_second = 0.0;
    double appends_per_second = 0.0;
    std::string violation;
  };

  PolicyBench(const PolicyCase& policy,
              const Situation& situation,
              std::uint64_t seed);

  PolicyBench(const PolicyBench&) = delete;
  auto operator=(const PolicyBench&) -> PolicyBench& = delete;

  auto Run() -> Result;

 private:
  auto ScheduleRequest() -> void;
  auto SendRequest() -> void;
  auto PickRouter(const TeamId& team) -> std::size_t;
  auto ScheduleFaults() -> void;
  auto KillOne() -> void;
  auto OnEnd(const testing::CallerRecord& caller) -> void;
  [[nodiscard]] auto Elapsed() const -> Duration {
    return this->fleet.queue.Now() - this->start;
  }

  PolicyCase policy;
  Situation situation;
  RandomSource chance;
  testing::VirtualFleet fleet;
  testing::InvariantChecker checker;
  Instant start;
  Tokens budget;
  std::map<TeamId, Tokens> spent;     ///< Of answered requests.
  std::map<TeamId, Tokens> reserved;  ///< Of requests under way.
  std::size_t false_refusals = 0;
  int next_key = 1;
};

/** Sums up what callers want to spend in a second, over all teams. */
[[nodiscard]] auto WantedTokensPerSecond() -> double;

}  // namespace auburnloft::bench

#endif  // BENCH_POLICY_BENCH_H_

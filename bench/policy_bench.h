#ifndef BENCH_POLICY_BENCH_H_
#define BENCH_POLICY_BENCH_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "support/invariant_checker.h"
#include "support/virtual_fleet.h"

namespace auburnloft::bench {

/** An allowance policy to compare. */
struct PolicyCase {
  std::string name;
  nlohmann::json allowance;  ///< Section `allowance` of the configuration.
  bool callers_use_all_routers =
      false;  ///< Callers pick any router, not only those that
              ///< SelectEntryRouters() lists for their team.
};

/** Load and faults of a simulation. */
struct Scenario {
  std::string name;
  Duration duration = std::chrono::minutes(10);
  double budget_ratio =
      3.0;  ///< Budget divided by the expected cost of all requests.
  bool callers_move = false;  ///< In each third of the time, all callers use
                              ///< the routers of another failure domain.
  bool network_is_partitioned =
      false;                  ///< Half of the routers are disconnected from the
                              ///< rest and from the log service.
  bool routers_fail = false;  ///< One router fails per minute and restarts.
};

/** Simulates one policy in one scenario with a fleet of six routers in virtual
 * time. */
class PolicyBench {
 public:
  struct Result {
    Tokens overspend = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    double false_refusals_per_10k = 0.0;
    Tokens stranded =
        0;  ///< Allocated to incarnations that no longer run at the end.
    double stranded_share = 0.0;  ///< Stranded tokens divided by the budget.
    double peer_bytes_per_router_per_second = 0.0;
    double log_appends_per_second = 0.0;
    std::string violation;  ///< First violated guarantee; empty if none.
  };

  PolicyBench(const PolicyCase& policy,
              const Scenario& scenario,
              std::uint64_t seed);

  PolicyBench(const PolicyBench&) = delete;
  auto operator=(const PolicyBench&) -> PolicyBench& = delete;

  auto Run() -> Result;

 private:
  auto ScheduleRequest() -> void;
  auto SendRequest() -> void;
  auto PickRouter(const TeamId& team) -> std::size_t;
  auto ScheduleFaults() -> void;
  auto KillRandomRouter() -> void;
  auto OnRequestEnd(const testing::CallerRecord& caller) -> void;
  [[nodiscard]] auto Elapsed() const -> Duration {
    return this->fleet.queue.Now() - this->start;
  }

  PolicyCase policy;
  Scenario scenario;
  RandomSource random;
  testing::VirtualFleet fleet;
  testing::InvariantChecker checker;
  Instant start;
  Tokens budget;
  std::map<TeamId, Tokens> spent;     ///< Cost of completed requests.
  std::map<TeamId, Tokens> reserved;  ///< Cost bounds of open requests.
  std::size_t false_refusals = 0;
  int next_request_key = 1;
};

/** Returns the expected cost of all requests that arrive in one second, over
 * all teams. */
[[nodiscard]] auto ExpectedTokensPerSecond() -> double;

}  // namespace auburnloft::bench

#endif  // BENCH_POLICY_BENCH_H_

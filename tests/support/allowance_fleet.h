#ifndef SUPPORT_ALLOWANCE_FLEET_H_
#define SUPPORT_ALLOWANCE_FLEET_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_gateway/prepaid/allowance_desk.h"
#include "al_gateway/prepaid/allowance_ledger.h"

namespace auburnloft::gateway {

/** Routers that draw on one team's budget through a log, in virtual time.

    Plays requests, appends that are slow, lost or late, routers that are cut
   off, paused, killed and started again, and checks after each step that all
   lives of all routers together have not spent or reserved more than the
   budget.
*/
class AllowanceFleet {
 public:
  struct Settings {
    int routers = 6;
    int reserve_holders = 6;
    std::uint64_t budget = 1'000'000;
    double requests_per_second = 20.0;  ///< Of the whole fleet.
    std::uint64_t max_tokens = 4'000;   ///< Of the largest request.
    bool transfers_enabled = true;      ///< Whether routers help each other.
    bool debits_sender = true;  ///< False puts a fault in, for the checker.
    double reply_loss_probability = 0.0;   ///< Part of the appends.
    double late_append_probability = 0.0;  ///< Part of the appends.
    AllowanceSettings allowances;
    std::uint64_t seed = 1;
  };

  /** What was seen so far. */
  struct Report {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_despite_budget =
        0;                       ///< The budget would have covered them.
    std::uint64_t spent = 0;     ///< Tokens, by all lives.
    std::uint64_t stranded = 0;  ///< Held by dead lives and not spent.
    std::uint64_t appends = 0;
    std::uint64_t append_bytes = 0;
    std::uint64_t transfers = 0;
    bool overspent = false;
  };

  explicit AllowanceFleet(const Settings& settings);
  ~AllowanceFleet();

  AllowanceFleet(const AllowanceFleet&) = delete;
  auto operator=(const AllowanceFleet&) -> AllowanceFleet& = delete;

  //============================================================================
  // Commands

  /** Lets `duration` pass. */
  auto Run(Duration duration) -> void;

  /** Multiplies the demand. */
  auto SetDemand(double factor) -> void { this->demand_factor = factor; }

  /** Cuts one router, or all with -1, off from the log. */
  auto SetLogCut(int router, bool cut) -> void;

  /** Stops a router's loop; what it appended may still be executed. */
  auto SetPaused(int router, bool paused) -> void;

  /** Kills a router, or all with -1; a new life starts at once. */
  auto Kill(int router) -> void;

  /** Raises the budget, as operators do. */
  auto TopUp(std::uint64_t tokens) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto report() const -> Report;

 private:
  struct RouterProcess;
  struct OpenRequest;
  struct PendingAppend;

  auto Step() -> void;
  auto SubmitRequests() -> void;
  auto SettleFinishedRequests() -> void;
  auto ExecuteDueAppends() -> void;
  auto ReadLog(RouterProcess& process) -> void;
  auto PlanAndAppend(RouterProcess& process) -> void;
  [[nodiscard]] auto FleetViewOf(const RouterProcess& process) const
      -> FleetView;
  auto RequestTransfers(RouterProcess& process) -> void;
  auto StartProcess(std::size_t router) -> void;
  [[nodiscard]] auto IsActive(std::string_view holder) const -> bool;
  [[nodiscard]] auto CommittedTokens() const -> std::uint64_t;

  Settings settings;
  RandomSource random;
  Instant now;
  double demand_factor = 1.0;
  std::vector<std::unique_ptr<RouterProcess>> processes;
  std::vector<AllowanceEntry> log;
  std::vector<PendingAppend> pending;
  std::vector<OpenRequest> open;
  std::uint64_t settled_tokens = 0;
  std::uint64_t held_by_exited_processes = 0;
  int last_incarnation_number = 0;
  Report totals;
};

}  // namespace auburnloft::gateway

#endif  // SUPPORT_ALLOWANCE_FLEET_H_

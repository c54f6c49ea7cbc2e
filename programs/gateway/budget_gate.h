#ifndef GATEWAY_BUDGET_GATE_H_
#define GATEWAY_BUDGET_GATE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/prepaid/allowance_manager.h"

namespace auburnloft {
class EventLoop;
class LoopTimer;
}  // namespace auburnloft

namespace auburnloft::gateway {

/** How the wait for a reservation ended. */
enum class BudgetAnswer {
  kReserved,     ///< The tokens are reserved.
  kSpent,        ///< The team's budget does not cover the request.
  kUnavailable,  ///< The budget may cover it, but none of it can be had now.
};

/** Requests that wait for an allowance, oldest first for each team.

    Thread safety: none; used on the loop's thread.
*/
class BudgetGate {
 public:
  using OnAnswer = std::function<void(BudgetAnswer)>;
  using Ticket = std::uint64_t;

  /** @param ask  asks for more of a team's budget, soon. */
  BudgetGate(EventLoop& loop,
             AllowanceManager& desk,
             std::function<void(const std::string& team)> ask);
  ~BudgetGate();

  BudgetGate(const BudgetGate&) = delete;
  auto operator=(const BudgetGate&) -> BudgetGate& = delete;

  //============================================================================
  // Commands

  /** Reserves `tokens`, now or within `limit`.
      @return 0 where `on_answer` ran already, else what Cancel() takes. */
  auto Reserve(const std::string& team,
               std::uint64_t tokens,
               Duration limit,
               OnAnswer on_answer) -> Ticket;

  /** Gives up a wait; its callback does not run. */
  auto Cancel(Ticket ticket) -> void;

  /** Allowances may have grown. */
  auto TryWaiting(const std::string& team) -> void;

  /** Says by what a wait that fails is judged. */
  auto SetIsSpent(std::function<bool(const std::string& team,
                                     std::uint64_t tokens)> is_spent) -> void {
    this->spent = std::move(is_spent);
  }

 private:
  struct Waiting {
    Ticket ticket = 0;
    std::string team;
    std::uint64_t tokens = 0;
    Instant until{};
    OnAnswer answer;
  };

  [[nodiscard]] auto IsAwaited(const std::string& team) const -> bool;
  auto OnTimer() -> void;
  auto UpdateWanted(const std::string& team) -> void;
  auto StartTimer() -> void;

  EventLoop& loop;
  AllowanceManager& desk;
  std::function<void(const std::string&)> ask;
  std::function<bool(const std::string&, std::uint64_t)> spent;
  std::unique_ptr<LoopTimer> timer;
  std::list<Waiting> waiting;
  Ticket last_ticket = 0;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_BUDGET_GATE_H_

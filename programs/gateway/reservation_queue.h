#ifndef GATEWAY_RESERVATION_QUEUE_H_
#define GATEWAY_RESERVATION_QUEUE_H_

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

/** How a reservation ended. */
enum class ReservationResult {
  kReserved,         ///< The tokens are reserved.
  kBudgetExhausted,  ///< The team's budget does not cover the request.
  kUnavailable,  ///< The budget may cover it, but no allowance came in time.
};

/** Queues requests until this router's allowance covers their tokens.

    Requests of one team are tried oldest first. A request that the allowance
   does not cover yet does not block smaller ones behind it.

    Thread safety: none; used on the loop's thread.
*/
class ReservationQueue {
 public:
  using OnResult = std::function<void(ReservationResult)>;
  using Ticket = std::uint64_t;

  /** @param request_allowance  starts to request more of a team's budget from
      the log or from other routers; returns at once. */
  ReservationQueue(
      EventLoop& loop,
      AllowanceManager& allowance_manager,
      std::function<void(const std::string& team)> request_allowance);
  ~ReservationQueue();

  ReservationQueue(const ReservationQueue&) = delete;
  auto operator=(const ReservationQueue&) -> ReservationQueue& = delete;

  //============================================================================
  // Commands

  /** Reserves `tokens` at once, or queues the request for up to `timeout`.
      @return 0 if `on_result` has already run, else a ticket for Cancel(). */
  auto Reserve(const std::string& team,
               std::uint64_t tokens,
               Duration timeout,
               OnResult on_result) -> Ticket;

  /** Removes a queued request; its callback does not run. */
  auto Cancel(Ticket ticket) -> void;

  /** Retries the queued requests of `team`; call it when its allowance may have
      grown. */
  auto RetryWaiting(const std::string& team) -> void;

  /** Sets the predicate that distinguishes kBudgetExhausted from kUnavailable.
      @pre called before the first Reserve(). */
  auto SetIsBudgetExhausted(
      std::function<bool(const std::string& team, std::uint64_t tokens)>
          is_exhausted) -> void {
    this->is_budget_exhausted = std::move(is_exhausted);
  }

 private:
  struct WaitingRequest {
    Ticket ticket = 0;
    std::string team;
    std::uint64_t tokens = 0;
    Instant deadline{};
    OnResult on_result;
  };

  [[nodiscard]] auto HasWaiting(const std::string& team) const -> bool;
  auto OnTimer() -> void;
  auto UpdateWaitingTokens(const std::string& team) -> void;
  auto StartTimer() -> void;

  EventLoop& loop;
  AllowanceManager& allowance_manager;
  std::function<void(const std::string&)> request_allowance;
  std::function<bool(const std::string&, std::uint64_t)> is_budget_exhausted;
  std::unique_ptr<LoopTimer> timer;
  std::list<WaitingRequest> queue;
  Ticket last_ticket = 0;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_RESERVATION_QUEUE_H_

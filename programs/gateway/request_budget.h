#ifndef GATEWAY_REQUEST_BUDGET_H_
#define GATEWAY_REQUEST_BUDGET_H_

#include <cstdint>
#include <functional>
#include <string>

#include "al_core/time/instant.h"
#include "gateway/gateway_context.h"
#include "gateway/reservation_queue.h"

namespace auburnloft::gateway {

/** The tokens of one request: reserves its maximum before the first attempt,
   and settles its actual use once.

    Thread safety: none; used on the loop's thread.
*/
class RequestBudget {
 public:
  explicit RequestBudget(GatewayContext& context) : context(context) {}

  /** Calls Settle(0), so that a reservation which was not settled returns to
   the allowance. Does nothing if no
   reservation is open or waiting. */
  ~RequestBudget();

  RequestBudget(const RequestBudget&) = delete;
  auto operator=(const RequestBudget&) -> RequestBudget& = delete;

  /** Reserves `tokens`, waiting for up to `timeout`.
      @param on_result  not called after Settle(). */
  auto Reserve(const std::string& team,
               std::uint64_t tokens,
               Duration timeout,
               std::function<void(ReservationResult)> on_result) -> void;

  /** Settles the reservation with the tokens used, or cancels it if it still
   waits for allowance. Does nothing if there is none. */
  auto Settle(std::uint64_t used_tokens) -> void;

  [[nodiscard]] auto reserved() const -> std::uint64_t {
    return this->reserved_tokens;
  }

 private:
  GatewayContext& context;
  std::string team;
  ReservationQueue::Ticket pending_reservation = 0;
  std::uint64_t reserved_tokens = 0;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_BUDGET_H_

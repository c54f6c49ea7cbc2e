#include "gateway/request_budget.h"

#include <utility>

namespace auburnloft::gateway {

RequestBudget::~RequestBudget() {
  this->Settle(0);
}

auto RequestBudget::Reserve(const std::string& team,
                            std::uint64_t tokens,
                            Duration timeout,
                            std::function<void(ReservationResult)> on_result)
    -> void {
  this->team = team;
  const auto new_reservation = this->context.reservations.Reserve(
      team, tokens, timeout,
      [this, tokens, call = std::move(on_result)](ReservationResult result) {
        this->pending_reservation = 0;
        if (result == ReservationResult::kReserved) {
          this->reserved_tokens = tokens;
        }
        call(result);
      });
  // 0 means that the callback has already run.
  if (new_reservation != 0) {
    this->pending_reservation = new_reservation;
  }
}

auto RequestBudget::Settle(std::uint64_t used_tokens) -> void {
  if (this->pending_reservation != 0) {
    this->context.reservations.Cancel(
        std::exchange(this->pending_reservation, 0));
  }
  if (this->reserved_tokens > 0) {
    this->context.allowance_manager.Settle(
        this->team, std::exchange(this->reserved_tokens, 0), used_tokens);
  }
}

}  // namespace auburnloft::gateway

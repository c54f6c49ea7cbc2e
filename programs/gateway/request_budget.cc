#include "gateway/request_budget.h"

#include <utility>

namespace auburnloft::gateway {

RequestBudget::~RequestBudget() {
  this->Settle(0);
}

auto RequestBudget::Reserve(const std::string& team,
                            std::uint64_t tokens,
                            Duration patience,
                            std::function<void(ReservationResult)> on_answer)
    -> void {
  this->team = team;
  const auto waiting = this->context.budgets.Reserve(
      team, tokens, patience,
      [this, tokens, call = std::move(on_answer)](ReservationResult answer) {
        this->ticket = 0;
        if (answer == ReservationResult::kReserved) {
          this->reserved_tokens = tokens;
        }
        call(answer);
      });
  if (waiting != 0) {
    this->ticket = waiting;
  }
}

auto RequestBudget::Settle(std::uint64_t used_tokens) -> void {
  if (this->ticket != 0) {
    this->context.budgets.Cancel(std::exchange(this->ticket, 0));
  }
  if (this->reserved_tokens > 0) {
    this->context.allowance_manager.Settle(
        this->team, std::exchange(this->reserved_tokens, 0), used_tokens);
  }
}

}  // namespace auburnloft::gateway

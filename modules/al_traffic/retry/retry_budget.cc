#include "al_traffic/retry/retry_budget.h"

#include <algorithm>

namespace auburnloft {

auto RetryBudget::RecordRequest() -> void {
  this->available = std::min(this->available + this->ratio, kMaxAvailable);
}

auto RetryBudget::TryTake() -> bool {
  if (this->available < 1.0) {
    return false;
  }
  this->available -= 1.0;
  return true;
}

}  // namespace auburnloft

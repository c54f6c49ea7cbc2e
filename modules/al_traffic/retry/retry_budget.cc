#include "al_traffic/retry/retry_budget.h"

#include <algorithm>

namespace auburnloft {

auto RetryBudget::RecordRequest() -> void {
  this->saved = std::min(this->saved + this->ratio, kMostSaved);
}

auto RetryBudget::TryTake() -> bool {
  if (this->saved < 1.0) {
    return false;
  }
  this->saved -= 1.0;
  return true;
}

}  // namespace auburnloft

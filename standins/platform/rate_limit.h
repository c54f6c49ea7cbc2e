#ifndef STANDINS_PLATFORM_RATE_LIMIT_H_
#define STANDINS_PLATFORM_RATE_LIMIT_H_

#include <algorithm>

#include "al_core/time/instant.h"

namespace auburnloft::standins {

/** A token bucket that holds up to one second of its rate. */
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : per_second(per_second), saved(per_second) {}

  /** Takes `amount` where it is there. */
  [[nodiscard]] auto TryTake(Instant now, double amount) -> bool {
    this->saved = std::min(
        this->per_second,
        this->saved + this->per_second * ToSeconds(now - this->updated));
    this->updated = now;
    if (this->saved < amount) {
      return false;
    }
    this->saved -= amount;
    return true;
  }

 private:
  double per_second;
  double saved;
  Instant updated;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_PLATFORM_RATE_LIMIT_H_

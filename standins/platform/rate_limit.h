#ifndef STANDINS_PLATFORM_RATE_LIMIT_H_
#define STANDINS_PLATFORM_RATE_LIMIT_H_

#include <algorithm>

#include "al_core/time/instant.h"

namespace auburnloft::standins {

/** A token-bucket rate limiter with a burst of one second.

    Thread safety: none; used on one thread.
*/
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : per_second(per_second), available(per_second) {}

  /** Takes `amount` from the bucket if it holds that much.
      @return whether it did. */
  [[nodiscard]] auto TryTake(Instant now, double amount) -> bool {
    this->available = std::min(
        this->per_second,
        this->available + this->per_second * ToSeconds(now - this->updated));
    this->updated = now;
    if (this->available < amount) {
      return false;
    }
    this->available -= amount;
    return true;
  }

 private:
  double per_second;
  double available;
  Instant updated;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_PLATFORM_RATE_LIMIT_H_

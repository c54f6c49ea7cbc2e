#ifndef AL_GATEWAY_ADMISSION_DECAYED_COUNT_H_
#define AL_GATEWAY_ADMISSION_DECAYED_COUNT_H_

#include <cmath>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** A sum whose amounts lose weight exponentially with their age.

    Thread safety: none; used on one thread.
*/
class DecayedCount {
 public:
  /** @param time_constant  the age at which an amount has 1/e of its weight.
      @pre above 0. */
  explicit DecayedCount(Duration time_constant)
      : decay_seconds(ToSeconds(time_constant)) {}

  auto Add(double amount, Instant now) -> void {
    this->sum = this->At(now) + amount;
    this->updated_at = now;
  }

  /** Returns the sum, with amounts weighted by their age. */
  [[nodiscard]] auto At(Instant now) const -> double {
    return this->sum *
           std::exp(-ToSeconds(now - this->updated_at) / this->decay_seconds);
  }

 private:
  double decay_seconds;
  double sum = 0.0;
  Instant updated_at{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_DECAYED_COUNT_H_

#ifndef AL_GATEWAY_LIMITS_RATE_METER_H_
#define AL_GATEWAY_LIMITS_RATE_METER_H_

#include <cstdint>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Measures a rate, of tokens or requests, as an exponentially decayed sum.

    The default decay is long enough to average several bursts of callers.

    Thread safety: none; used on one thread.
*/
class RateMeter {
 public:
  static constexpr Duration kDefaultDecay = std::chrono::seconds(4);

  explicit RateMeter(Duration decay = kDefaultDecay)
      : decay_seconds(ToSeconds(decay)) {}

  auto Add(std::uint64_t amount, Instant now) -> void;

  /** Returns the amount per second; 0 before the first Add(). */
  [[nodiscard]] auto PerSecond(Instant now) const -> double;

 private:
  [[nodiscard]] auto Decayed(Instant now) const -> double;

  double decay_seconds;  ///< Time constant.
  double rate = 0.0;     ///< At `updated_at`, without correction for `since`.
  Instant updated_at{};
  Instant since{};  ///< Time of the first Add().
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_RATE_METER_H_

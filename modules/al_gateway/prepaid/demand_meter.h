#ifndef AL_GATEWAY_PREPAID_DEMAND_METER_H_
#define AL_GATEWAY_PREPAID_DEMAND_METER_H_

#include <cstdint>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Measures a rate of tokens as an exponentially decayed sum.

    Thread safety: none; used on one thread.
*/
class DemandMeter {
 public:
  auto Add(std::uint64_t tokens, Instant now) -> void;

  /** Returns tokens per second; 0 before the first Add(). */
  [[nodiscard]] auto PerSecond(Instant now) const -> double;

 private:
  [[nodiscard]] auto Decayed(Instant now) const -> double;

  double rate = 0.0;  ///< At `updated_at`, without correction for `since`.
  Instant updated_at{};
  Instant since{};  ///< Time of the first Add().
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_DEMAND_METER_H_

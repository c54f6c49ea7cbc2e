#include "al_gateway/limits/rate_meter.h"

#include <algorithm>
#include <cmath>

namespace auburnloft::gateway {

namespace {

/** Time constant of the decay: long enough to average several bursts of
   callers. */
constexpr double kDecaySeconds = 4.0;

/** Minimum measuring time of a rate. */
constexpr double kMinMeasuredSeconds = 2.0;

}  // namespace

auto RateMeter::Add(std::uint64_t amount, Instant now) -> void {
  if (this->since == Instant()) {
    this->since = now;
  }
  this->rate = this->Decayed(now) + static_cast<double>(amount) / kDecaySeconds;
  this->updated_at = now;
}

auto RateMeter::PerSecond(Instant now) const -> double {
  if (this->since == Instant()) {
    return 0.0;
  }
  // A sum that started recently is too low: scale it by the part of the decay
  // window that has passed.
  const double measured =
      std::max(kMinMeasuredSeconds, ToSeconds(now - this->since));
  return this->Decayed(now) / (1.0 - std::exp(-measured / kDecaySeconds));
}

auto RateMeter::Decayed(Instant now) const -> double {
  return this->rate *
         std::exp(-ToSeconds(now - this->updated_at) / kDecaySeconds);
}

}  // namespace auburnloft::gateway

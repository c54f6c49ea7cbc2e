#include "al_gateway/limits/rate_meter.h"

#include <algorithm>
#include <cmath>

namespace auburnloft::gateway {

namespace {

/** Minimum measuring time of a rate, relative to its decay: a first amount does
   not count for more than twice what it is over one decay. */
constexpr double kMinMeasuredRatio = 0.5;

}  // namespace

auto RateMeter::Add(std::uint64_t amount, Instant now) -> void {
  if (this->since == Instant()) {
    this->since = now;
  }
  this->rate =
      this->Decayed(now) + static_cast<double>(amount) / this->decay_seconds;
  this->updated_at = now;
}

auto RateMeter::PerSecond(Instant now) const -> double {
  if (this->since == Instant()) {
    return 0.0;
  }
  // A sum that started recently is too low: scale it by the part of the decay
  // window that has passed.
  const double measured = std::max(kMinMeasuredRatio * this->decay_seconds,
                                   ToSeconds(now - this->since));
  return this->Decayed(now) / (1.0 - std::exp(-measured / this->decay_seconds));
}

auto RateMeter::Decayed(Instant now) const -> double {
  return this->rate *
         std::exp(-ToSeconds(now - this->updated_at) / this->decay_seconds);
}

}  // namespace auburnloft::gateway

#include "al_gateway/hedging/service_pressure.h"

#include <algorithm>
#include <cmath>

namespace auburnloft::gateway {

namespace {

/** Time constant of the counts, in seconds: some attempts of a router with few
   requests, and short against a burst of demand. */
constexpr double kDecaySeconds = 2.0;

/** Fraction of late attempts from which the service counts as short. A
   twentieth is late by the definition of the delay; over a few seconds of a
   router with few requests, several times that. */
constexpr double kMaxLateFraction = 0.2;

/** Fewer late attempts than this (decayed) are no sign of a queue. */
constexpr double kMinLate = 4.0;

/** How long an upstream's refusal counts as a sign: callers and routers that
   were refused return within about a second. */
constexpr Duration kRefusalPeriod = std::chrono::seconds(1);

}  // namespace

auto ServicePressure::RecordSent(Instant now) -> void {
  this->Decay(now);
  this->sent += 1.0;
}

auto ServicePressure::RecordLate(Instant now) -> void {
  this->Decay(now);
  this->late += 1.0;
}

auto ServicePressure::IsShort(Instant now) const -> bool {
  const double factor =
      std::exp(-ToSeconds(now - this->updated_at) / kDecaySeconds);
  return (this->refused_at && now - *this->refused_at < kRefusalPeriod) ||
         (this->late * factor >= kMinLate &&
          this->late > kMaxLateFraction * this->sent);
}

auto ServicePressure::Decay(Instant now) -> void {
  const double factor = std::exp(
      -std::max(0.0, ToSeconds(now - this->updated_at)) / kDecaySeconds);
  this->sent *= factor;
  this->late *= factor;
  this->updated_at = now;
}

}  // namespace auburnloft::gateway

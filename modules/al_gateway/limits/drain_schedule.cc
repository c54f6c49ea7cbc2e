#include "al_gateway/limits/drain_schedule.h"

namespace auburnloft::gateway {

namespace {

/** Part of the grace period that is reserved for returning allowances and the
   exit. */
constexpr Duration kShutdownReserve = std::chrono::milliseconds(900);

}  // namespace

DrainSchedule::DrainSchedule(Instant started_at, Duration grace_period)
    : start(started_at), grace_period(grace_period) {}

auto DrainSchedule::returns_at() const -> Instant {
  return this->start + this->grace_period - kShutdownReserve;
}

auto DrainSchedule::service_ends_at() const -> Instant {
  return this->returns_at();
}

}  // namespace auburnloft::gateway

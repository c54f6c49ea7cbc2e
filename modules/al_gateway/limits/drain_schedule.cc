#include "al_gateway/limits/drain_schedule.h"

namespace auburnloft::gateway {

namespace {

/** Parts of the grace period, from its end: the log takes a returned allowance
   within half a second; the last responses are sent, and requests on their way
   refused, within a quarter; the rest is for the exit of the process. */
constexpr Duration kReturnReserve = std::chrono::milliseconds(900);
constexpr Duration kServiceReserve = std::chrono::milliseconds(400);
constexpr Duration kExitReserve = std::chrono::milliseconds(150);

}  // namespace

DrainSchedule::DrainSchedule(Instant started_at, Duration grace_period)
    : start(started_at), grace_period(grace_period) {}

auto DrainSchedule::returns_at() const -> Instant {
  return this->start + this->grace_period - kReturnReserve;
}

auto DrainSchedule::service_ends_at() const -> Instant {
  return this->start + this->grace_period - kServiceReserve;
}

auto DrainSchedule::exits_at() const -> Instant {
  return this->start + this->grace_period - kExitReserve;
}

}  // namespace auburnloft::gateway

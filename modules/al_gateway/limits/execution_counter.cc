#include "al_gateway/limits/execution_counter.h"

#include <cassert>

#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

namespace {

/** Limit of attempts when upstreams refuse the request without executing it. */
constexpr int kMaxAttempts = 3;

}  // namespace

//==============================================================================
// Commands

auto ExecutionCounter::RecordSent() -> void {
  ++this->attempt_count;
  ++this->execution_count;
}

auto ExecutionCounter::RecordNotExecuted() -> void {
  assert(this->execution_count > 0);
  --this->execution_count;
}

auto ExecutionCounter::RecordNotSent() -> void {
  this->RecordNotExecuted();
  --this->attempt_count;
}

//==============================================================================
// Queries

auto ExecutionCounter::CanExecuteAgain(const RouteRule& route,
                                       Duration time_left) const -> bool {
  return route.is_repeatable() && this->execution_count < route.max_attempts &&
         time_left.count() > 0;
}

auto ExecutionCounter::CanRetryElsewhere(Duration time_left) const -> bool {
  return this->attempt_count < kMaxAttempts && time_left.count() > 0;
}

}  // namespace auburnloft::gateway

#include "al_gateway/limits/execution_counter.h"

#include <cassert>

#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

namespace {

/** Sends of one request that upstreams refused without running it. */
constexpr int kMostSends = 3;

}  // namespace

//==============================================================================
// Commands

auto ExecutionCounter::RecordSent() -> void {
  ++this->send_count;
  ++this->run_count;
}

auto ExecutionCounter::RecordNotExecuted() -> void {
  assert(this->run_count > 0);
  --this->run_count;
}

auto ExecutionCounter::RecordNotSent() -> void {
  this->RecordNotExecuted();
  --this->send_count;
}

//==============================================================================
// Queries

auto ExecutionCounter::CanExecuteAgain(const RouteRule& route,
                                       Duration time_left) const -> bool {
  return route.is_repeatable() && this->run_count < route.max_attempts &&
         time_left.count() > 0;
}

auto ExecutionCounter::CanRetryElsewhere(Duration time_left) const -> bool {
  return this->send_count < kMostSends && time_left.count() > 0;
}

}  // namespace auburnloft::gateway

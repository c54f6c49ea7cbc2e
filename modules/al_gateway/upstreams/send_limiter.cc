#include "al_gateway/upstreams/send_limiter.h"

#include <utility>

namespace auburnloft::gateway {

auto SendLimiter::Allow(Duration interval, Instant not_before) -> void {
  if (!std::exchange(this->may_send, true)) {
    this->not_before = not_before;
  }
  this->interval = interval;
}

auto SendLimiter::Forbid(Duration retry_interval) -> void {
  this->may_send = false;
  this->interval = retry_interval;
}

}  // namespace auburnloft::gateway

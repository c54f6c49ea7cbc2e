#ifndef AL_GATEWAY_UPSTREAMS_SEND_LIMITER_H_
#define AL_GATEWAY_UPSTREAMS_SEND_LIMITER_H_

#include <algorithm>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Spaces this router's requests to one upstream evenly. Unused time is not
   accumulated, so that neither a queue nor the end of a pause causes a burst:
   in any span there are at most span / interval + 1 requests.

    Thread safety: none; used on one thread.
*/
class SendLimiter {
 public:
  //============================================================================
  // Commands

  /** Lets this router send a request in each `interval`.
      @param not_before  no request is sent earlier, if the router was not
                         allowed to send before. */
  auto Allow(Duration interval, Instant not_before) -> void;

  /** Forbids this router to send.
      @param retry_interval  when a caller may ask again. */
  auto Forbid(Duration retry_interval) -> void;

  /** Sets when the limiter ends by itself; Instant::max(): never. */
  auto SetEnd(Instant ends_at) -> void { this->ends_at = ends_at; }

  auto RecordSent(Instant now) -> void { this->last_sent_at = now; }

  //============================================================================
  // Queries

  [[nodiscard]] auto is_open(Instant now) const -> bool {
    return now >= this->ends_at || (this->may_send && now >= this->opens_at());
  }

  /** Returns when a request that is not sent now may be tried again. */
  [[nodiscard]] auto RetryAt(Instant now) const -> Instant {
    return std::min(this->ends_at,
                    this->may_send ? this->opens_at() : now + this->interval);
  }

 private:
  [[nodiscard]] auto opens_at() const -> Instant {
    return std::max(this->not_before, this->last_sent_at + this->interval);
  }

  bool may_send = false;
  Duration interval{0};
  Instant not_before{};
  Instant last_sent_at{};
  Instant ends_at = Instant::max();
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_SEND_LIMITER_H_

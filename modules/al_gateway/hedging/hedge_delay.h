#ifndef AL_GATEWAY_HEDGING_HEDGE_DELAY_H_
#define AL_GATEWAY_HEDGING_HEDGE_DELAY_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

struct RouteRule;

/** Learns, for each route, how long its first attempts usually need until the
    response (plain) or its first event (stream), and tells after which time an
    attempt is late: a high quantile of these times.

    The times are kept in a histogram whose weights decay, so that the delay
   follows the upstreams. A route with too few recent times, as at a router that
   sees few requests, uses a fraction of its latency objective.

    Thread safety: none; used on one thread.
*/
class HedgeDelay {
 public:
  /** @param quantile  of the times, above which an attempt is late; 0 to 1. */
  explicit HedgeDelay(double quantile);
  ~HedgeDelay();

  HedgeDelay(const HedgeDelay&) = delete;
  auto operator=(const HedgeDelay&) -> HedgeDelay& = delete;

  /** Records the time that a first attempt needed. For an attempt that was
     cancelled, as another one had answered, pass the time until then: it
     exceeds the delay, so that the share of late attempts stays right. Do not
     pass times of second attempts: those that are cancelled are short. */
  auto Record(const RouteRule& route, Duration latency, Instant now) -> void;

  /** Returns the time after which an attempt of the route is late. */
  [[nodiscard]] auto DelayOf(const RouteRule& route, Instant now) const
      -> Duration;

 private:
  struct Samples;

  /** Removes the routes without recent times. */
  auto RemoveUnused(Instant now) -> void;

  double quantile;
  std::unordered_map<std::string, std::unique_ptr<Samples>> by_route;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_HEDGING_HEDGE_DELAY_H_

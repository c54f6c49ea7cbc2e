#ifndef AL_GATEWAY_UPSTREAMS_PACE_METER_H_
#define AL_GATEWAY_UPSTREAMS_PACE_METER_H_

#include <optional>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The slowest recent pace of an engine's streams: what a new stream has to
   reckon with. Engines differ in speed, and each slows down with its load.

    Thread safety: none; used on one thread.
*/
class PaceMeter {
 public:
  /** Records that a stream needed `per_token` for each token lately. */
  auto Record(Duration per_token, Instant now) -> void;

  /** Returns the longest time per token that was recorded in the last 5 to 10
     seconds; none if nothing was. */
  [[nodiscard]] auto SlowestPerToken(Instant now) const
      -> std::optional<Duration>;

 private:
  struct Period {
    Instant begins_at{};
    std::optional<Duration> slowest;
  };

  Period newest;
  Period before;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PACE_METER_H_

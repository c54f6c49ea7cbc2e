#ifndef AL_GATEWAY_LIMITS_DRAIN_SCHEDULE_H_
#define AL_GATEWAY_LIMITS_DRAIN_SCHEDULE_H_

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The moments of a planned stop, and which requests are taken until then.

    Callers keep the addresses that they have looked up, so that new requests
    are normal until the end. One is taken only if it can be answered before the
    process exits; else another router must serve it.

    Thread safety: none; used on one thread.
*/
class DrainSchedule {
 public:
  /** @param grace_period  from `started_at` until the process is killed. */
  DrainSchedule(Instant started_at, Duration grace_period);

  [[nodiscard]] auto started_at() const -> Instant { return this->start; }

  /** Returns when unused allowances are returned. Requests that need tokens are
     refused from then on. */
  [[nodiscard]] auto returns_at() const -> Instant;

  /** Returns when all open requests are answered, and the router stops to
     listen. */
  [[nodiscard]] auto service_ends_at() const -> Instant;

  /** Returns when the process exits at the latest. */
  [[nodiscard]] auto exits_at() const -> Instant;

  /** Returns whether a request that lasts up to `longest` from `now` on can be
     answered. */
  [[nodiscard]] auto HasTimeFor(Duration longest, Instant now) const -> bool {
    return now + longest <= this->service_ends_at();
  }

 private:
  Instant start;
  Duration grace_period;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_DRAIN_SCHEDULE_H_

#ifndef AL_GATEWAY_HEDGING_SERVICE_PRESSURE_H_
#define AL_GATEWAY_HEDGING_SERVICE_PRESSURE_H_

#include <optional>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Tells from this router's own requests whether a service is short of
   capacity: an upstream has turned a request away lately, or so many attempts
   are late at once that the cause is no single upstream. It needs no messages,
   as a queue at the upstreams delays the requests of all routers.

    Thread safety: none; used on one thread.
*/
class ServicePressure {
 public:
  /** Records that a first attempt was sent. */
  auto RecordSent(Instant now) -> void;

  /** Records that a first attempt is late. */
  auto RecordLate(Instant now) -> void;

  /** Records that an upstream did not execute a request. */
  auto RecordRefusal(Instant now) -> void { this->refused_at = now; }

  /** Returns whether the service is short of capacity. */
  [[nodiscard]] auto IsShort(Instant now) const -> bool;

 private:
  auto Decay(Instant now) -> void;

  double sent = 0.0;  ///< Decayed counts at `updated_at`.
  double late = 0.0;
  Instant updated_at{};
  std::optional<Instant> refused_at;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_HEDGING_SERVICE_PRESSURE_H_

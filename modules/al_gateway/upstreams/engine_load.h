#ifndef AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_H_
#define AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_H_

#include <cstdint>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** What a number of routers have open at an engine. */
struct EngineLoad {
  double generations = 0.0;     ///< That have not ended.
  double prefill_tokens = 0.0;  ///< Of those without a first event.
  double memory_tokens = 0.0;   ///< Prompts and maximum outputs of all.

  auto operator==(const EngineLoad&) const -> bool = default;
};

/** What the other routers of the fleet have open at an engine. */
struct OthersLoad {
  EngineLoad observed;  ///< Of the routers that report to the same reader.
  EngineLoad smoothed;  ///< Mean of `observed` over the last seconds.
  EngineLoad estimate;  ///< Of all routers; see EstimateOthers().
  Instant at{};         ///< Of the report; the epoch: there is none.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_H_

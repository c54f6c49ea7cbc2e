#ifndef AL_GATEWAY_UPSTREAMS_ENGINE_REPORT_H_
#define AL_GATEWAY_UPSTREAMS_ENGINE_REPORT_H_

#include <cstdint>
#include <vector>

#include "al_gateway/upstreams/engine_pace.h"

namespace auburnloft::gateway {

/** What one router tells a reader about one engine. */
struct EngineSample {
  std::uint32_t engine = 0;  ///< UpstreamState::key().
  std::uint32_t generations = 0;
  std::uint32_t prefill_tokens = 0;
  std::uint32_t memory_tokens = 0;
  EnginePace::Sample pace;
};

/** The engines whose load at one router changed since its last report. */
struct EngineReport {
  std::uint64_t reporter = 0;  ///< Hash of the router's incarnation.
  bool whole = false;          ///< Engines not named have no load.
  std::vector<EngineSample> samples;
};

/** What a reader tells about one engine: the sums over its routers. */
struct EngineState {
  std::uint32_t engine = 0;
  std::uint32_t generations = 0;
  std::uint32_t prefill_tokens = 0;
  std::uint32_t memory_tokens = 0;
  std::uint32_t pace_percent = 0;  ///< Of the service's median; 0: unknown.

  auto operator==(const EngineState&) const -> bool = default;
};

/** The engines whose state changed since a router's last request. */
struct EngineNews {
  std::uint64_t newest = 0;     ///< Number from which to request next.
  bool whole = false;           ///< Engines not named have no load.
  std::uint32_t reporters = 0;  ///< Routers in the sums, with the reader.
  std::vector<EngineState> states;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_ENGINE_REPORT_H_

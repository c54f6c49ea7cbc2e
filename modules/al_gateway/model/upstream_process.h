#ifndef AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_
#define AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace auburnloft::gateway {

/** Identifies one process of an upstream; a restart may keep the id. */
struct UpstreamProcess {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 if unknown.

  auto operator<=>(const UpstreamProcess&) const = default;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_

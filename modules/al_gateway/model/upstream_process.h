#ifndef AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_
#define AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnloft::gateway {

/** Identifies one process of an upstream; a restart may keep the id. */
struct UpstreamProcess {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 if unknown.

  auto operator==(const UpstreamProcess&) const -> bool = default;

  auto operator<(const UpstreamProcess& other) const -> bool {
    return std::tie(this->id, this->started_at_ms) <
           std::tie(other.id, other.started_at_ms);
  }
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_UPSTREAM_PROCESS_H_

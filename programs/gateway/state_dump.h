#ifndef GATEWAY_STATE_DUMP_H_
#define GATEWAY_STATE_DUMP_H_

#include <cstddef>
#include <string>

#include "al_gateway/membership/router_registry.h"

namespace auburnloft::gateway {

class FleetTopicClient;
struct GatewayContext;

/** The objects that a state dump reads. */
struct StateDumpInput {
  const RouterAnnouncement& self;
  const GatewayContext& context;
  const FleetTopicClient& fleet;
  std::size_t upstreams = 0;  ///< Listed upstreams.
  std::size_t sockets = 0;    ///< Open sockets.
};

/** Serializes the state of the process as a JSON object. */
[[nodiscard]] auto DumpState(const StateDumpInput& view) -> std::string;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_STATE_DUMP_H_

#ifndef AL_GATEWAY_MODEL_FLEET_CONFIG_H_
#define AL_GATEWAY_MODEL_FLEET_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_http1/http1_server_session.h"

namespace auburnloft::gateway {

/** How often a route's requests may be executed. */
enum class RouteKind {
  kIdempotent,  ///< Any number of times.
  kAtMostOnce,  ///< At most once for each try of the caller.
  kStream,      ///< Responds with events; at most once unless resumable.
};

/** A service of a route, with its share of the route's requests. */
struct ServiceShare {
  std::string service;
  double weight = 1.0;  ///< Relative to the route's other services.
};

/** Selects requests by host and path, and sets where and how they are sent. */
struct RouteRule {
  std::string name;
  std::string host;         ///< In lower case.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kAtMostOnce;
  std::vector<ServiceShare> services;
  Duration timeout{0};              ///< Until the response has ended.
  Duration latency_objective{0};    ///< Until the response or its first event.
  Duration event_gap_objective{0};  ///< Between two events of a stream.
  int max_attempts = 1;             ///< Maximum executions of a request.
  int priority = 5;                 ///< 0 is the highest priority.
  bool needs_key = true;            ///< Whether callers must send a team's key.
  bool resumable = false;  ///< Whether another upstream may resume a stream.
  bool carries_prompt = false;  ///< Whether requests list prompt parts.
  std::vector<std::string> allowed_regions;  ///< Of upstreams; empty: all.

  /** Returns whether a request may be executed more than once. */
  [[nodiscard]] auto is_repeatable() const -> bool {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

/** Properties of a service's model engines. */
struct EngineRule {
  int batch_slots = 0;                   ///< Concurrent requests of an engine.
  std::uint64_t kv_capacity_tokens = 0;  ///< Capacity of its KV cache.
  std::uint64_t tokens_per_event = 1;    ///< In one event of a stream.
};

/** A group of upstreams that can serve the same requests. */
struct ServiceRule {
  std::string name;
  int max_connections = 0;  ///< To one upstream, from all routers.
  Duration warm_up{0};  ///< An upstream is cold for so long after its start.
  double warm_up_per_second = 0.0;  ///< Requests that a cold upstream tolerates
                                    ///< from all routers; 0: no limit.
  std::optional<EngineRule> engine;
};

/** A team with its keys and its prepaid budget. */
struct TeamRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint64_t> prepaid_tokens;  ///< None: unlimited.
  std::optional<int> priority;                  ///< Overrides the route's.
  std::vector<std::string> allowed_regions;     ///< In addition to the route's.
};

/** One version of the configuration of the fleet. */
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<TeamRule> teams;  ///< Empty: requests need no key.
  Http1SessionLimits limits;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_FLEET_CONFIG_H_

#ifndef AL_GATEWAY_MODEL_FLEET_CONFIG_H_
#define AL_GATEWAY_MODEL_FLEET_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_http1/http1_server_session.h"

namespace auburnloft::gateway {

/** What may be repeated of a route's requests. */
enum class RouteKind {
  kIdempotent,  ///< May run any number of times.
  kAtMostOnce,  ///< Runs once at most for each attempt of the caller.
  kStream,      ///< Answered by events; at most once unless resumable.
};

/** A part of a route's requests that goes to one service. */
struct ServiceShare {
  std::string service;
  double weight = 1.0;  ///< Relative to the other parts of the route.
};

/** Which requests go where, and how. */
struct RouteRule {
  std::string name;
  std::string host;         ///< In lower case.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kAtMostOnce;
  std::vector<ServiceShare> services;
  Duration timeout{0};              ///< Longest time until the answer is final.
  Duration latency_objective{0};    ///< Until the answer, or its first event.
  Duration event_gap_objective{0};  ///< Between events of a stream.
  int max_attempts = 1;             ///< Upstreams that one request may run on.
  int priority = 5;                 ///< 0 is the most urgent.
  bool needs_key = true;            ///< Whether callers must show a team's key.
  bool resumable = false;           ///< Whether a stream may go on elsewhere.
  bool carries_prompt = false;      ///< Whether requests name prompt parts.

  /** True where one request may run more than once. */
  [[nodiscard]] auto is_repeatable() const -> bool {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

/** What model engines of a service have. */
struct EngineRule {
  int batch_slots = 0;  ///< Requests that run at once.
  std::uint64_t kv_capacity_tokens = 0;
  std::uint64_t tokens_per_event = 1;  ///< Tokens in one event of a stream.
};

/** A group of upstreams that are equal to a caller. */
struct ServiceRule {
  std::string name;
  int max_connections = 0;  ///< Of one upstream, from all routers together.
  std::optional<EngineRule> engine;
};

/** A team, its keys and what it bought. */
struct TeamRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint64_t> prepaid_tokens;  ///< None: unlimited.
  std::optional<int> priority;                  ///< Goes before the route's.
};

/** One version of the whole configuration. */
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<TeamRule> teams;  ///< Empty: nobody needs a key.
  Http1SessionLimits limits;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_FLEET_CONFIG_H_

#ifndef GATEWAY_GATEWAY_CONTEXT_H_
#define GATEWAY_GATEWAY_CONTEXT_H_

#include <memory>
#include <string>

#include "al_core/random/random_source.h"
#include "al_edge/loop/event_loop.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/routing/route_table.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "gateway/budget_gate.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/upstream_connections.h"

namespace auburnloft::gateway {

/** What requests share in one process.

    Thread safety: none; used on the loop's thread.
*/
struct GatewayContext {
  EventLoop& loop;
  std::shared_ptr<const RouteTable> table;  ///< Null before the first version.
  UpstreamDirectory& upstreams;
  UpstreamSelector& chooser;
  UpstreamConnections& connections;
  FleetRetryBudget& retries;
  AllowanceManager& desk;
  BudgetGate& budgets;
  RandomSource& random;
  DecisionLog& log;
  GatewayMetrics& metrics;
  int routers = 1;            ///< Alive in the fleet.
  Duration stream_limit{0};   ///< Late in a shutdown: time to finish a stream.
  int open_requests = 0;      ///< Under way in this process.
  bool log_in_touch = false;  ///< Whether the platform's log answers.
  Instant log_contact_at{};   ///< When it last did.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_GATEWAY_CONTEXT_H_

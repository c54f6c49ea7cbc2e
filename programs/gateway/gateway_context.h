#ifndef GATEWAY_GATEWAY_CONTEXT_H_
#define GATEWAY_GATEWAY_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_edge/loop/event_loop.h"
#include "al_gateway/limits/drain_schedule.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/limits/rate_meter.h"
#include "al_gateway/quarantine/crash_quarantine.h"
#include "al_gateway/routing/route_table.h"
#include "al_gateway/upstreams/cold_upstreams.h"
#include "al_gateway/upstreams/upstream_limits.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/reservation_queue.h"
#include "gateway/upstream_connection_pool.h"

namespace auburnloft::gateway {

class EvacuationHandler;
class AdmissionGate;
class HedgePolicy;
class RequestHandler;
class StreamOrigins;

/** State that all requests of one process share.

    Thread safety: none; used on the loop's thread.
*/
struct GatewayContext {
  EventLoop& loop;
  std::shared_ptr<const RouteTable>
      table;  ///< Null before the first configuration.
  UpstreamDirectory& upstreams;
  EvacuationHandler& evacuations;
  UpstreamLimits& limits;
  ColdUpstreams& cold_upstreams;
  UpstreamSelector& chooser;
  UpstreamConnectionPool& connections;
  FleetRetryBudget& retry_budget;
  AllowanceManager& allowance_manager;
  ReservationQueue& reservations;
  CrashQuarantine& quarantine;
  RandomSource& random;
  DecisionLog& log;
  GatewayMetrics& metrics;
  /** Request handlers that have ended; the loop releases them in its next
     iteration, unless the daemon ends before. */
  std::shared_ptr<std::vector<std::shared_ptr<void>>> ended_handlers =
      std::make_shared<std::vector<std::shared_ptr<void>>>();
  CrashQuarantine::RunsTrials runs_trials;
  /** Observes whether an upstream has ended after a connection to it broke. */
  std::function<void(const UpstreamRecord&)> observe_end;
  std::function<void()> report_news;  ///< Writes news about crashes and limits
                                      ///< of upstreams soon.
  RateMeter request_rate{};     ///< Requests that callers send to this router.
  double close_fraction = 0.0;  ///< Of responses, after which the connection is
                                ///< closed.
  int routers = 1;              ///< Active routers in the fleet.
  std::optional<DrainSchedule> drain;  ///< Set by a planned stop.
  bool returns_allowances = false;     ///< Late in a drain: none are reserved.
  bool is_stopping = false;  ///< Set at the end of a drain: no request starts.
  std::unordered_set<RequestHandler*> open_requests;  ///< In this process.
  AdmissionGate* admission = nullptr;  ///< Null: all requests are admitted.
  StreamOrigins* stream_origins = nullptr;  ///< Not null once requests come.
  double load_ratio = 1.0;  ///< Requests per second of this router by the mean
                            ///< of the fleet's routers.
  bool is_log_reachable = false;  ///< Whether the log service replies.
  Instant last_log_reply_at{};    ///< Of the log service.
  std::shared_ptr<HedgePolicy> hedge_policy;  ///< Null: no request is hedged.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_GATEWAY_CONTEXT_H_

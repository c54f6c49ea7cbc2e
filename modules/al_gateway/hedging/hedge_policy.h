#ifndef AL_GATEWAY_HEDGING_HEDGE_POLICY_H_
#define AL_GATEWAY_HEDGING_HEDGE_POLICY_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "al_core/time/instant.h"
#include "al_gateway/hedging/hedge_delay.h"
#include "al_gateway/hedging/hedge_share.h"
#include "al_gateway/hedging/service_pressure.h"

namespace auburnloft::gateway {

class FleetRetryBudget;
struct RouteRule;

/** Whether a second attempt is sent, or why not. */
enum class HedgeDecision {
  kSend,
  kNotRepeatable,    ///< It may be executed only once.
  kBegun,            ///< The first attempt has begun to answer.
  kAttemptsUsed,     ///< The route's maximum of attempts is reached.
  kSuspect,          ///< The request may crash upstreams.
  kDraining,         ///< This router is stopping.
  kNoTime,           ///< Too little is left until the deadline.
  kNoUpstream,       ///< No other upstream may take it.
  kPressure,         ///< The service is short of capacity.
  kShareUsed,        ///< The share of second attempts is used up.
  kRetryBudgetUsed,  ///< The fleet's retry budget is used up.
};

/** Returns the decision's name in the decision log and the counters. */
[[nodiscard]] auto NameOf(HedgeDecision decision) -> std::string_view;

/** Decides when a request is late, and whether a second attempt is sent to
   another upstream while the first one runs ("hedge").

    An attempt is late above a high quantile of its route's times, so that the
   share is spent on requests that wait for a slow upstream.

    Thread safety: none; used on one thread.
*/
class HedgePolicy {
 public:
  /** The upstream that would get the second attempt. */
  struct Candidate {
    Duration expected{0};   ///< Until the first byte, with recent lateness.
    int open_requests = 0;  ///< Of this router.
    int slots = 1;          ///< Requests that it executes concurrently.
  };

  /** The state of a request whose first attempt is late. */
  struct Query {
    const RouteRule& route;
    std::string_view service;
    int executions = 1;        ///< Attempts that may have been executed.
    bool has_begun = false;    ///< The first attempt has begun to answer.
    bool is_suspect = false;   ///< It may crash upstreams.
    bool is_draining = false;  ///< This router is stopping.
    Duration waited{0};        ///< Since the first attempt was sent.
    Duration time_left{0};     ///< Until the request's deadline.
    std::optional<Candidate> candidate =
        std::nullopt;  ///< None: there is none.
    int routers = 1;   ///< Active routers of the fleet.
  };

  /** @param share   second attempts per request that may have one, 0 to 1; 0:
                     none are sent.
      @param budget  of the fleet's retries, from which second attempts are
                     taken; must outlive this object. */
  HedgePolicy(double share, FleetRetryBudget& budget);

  HedgePolicy(const HedgePolicy&) = delete;
  auto operator=(const HedgePolicy&) -> HedgePolicy& = delete;

  //============================================================================
  // Commands

  /** Records the first attempt of a request.
      @return the time after which it is late; none if its route allows no
      second attempt, or another rule replaces the attempt sooner. */
  [[nodiscard]] auto BeginRequest(const RouteRule& route,
                                  std::string_view service,
                                  Instant now) -> std::optional<Duration>;

  /** Decides on a request whose first attempt is late; call it once for each.
     If the result is kSend, the second attempt is taken from the share and the
     budget. */
  [[nodiscard]] auto Decide(const Query& query, Instant now) -> HedgeDecision;

  /** Records the time that a first attempt needed, as HedgeDelay::Record(). */
  auto RecordLatency(const RouteRule& route, Duration latency, Instant now)
      -> void;

  /** Records that an upstream of the service did not execute a request. */
  auto RecordRefusal(std::string_view service, Instant now) -> void;

 private:
  struct Service {
    HedgeShare share;
    ServicePressure pressure;
  };

  [[nodiscard]] static auto IsUnderPressure(const Query& query,
                                            const ServicePressure& pressure,
                                            Instant now) -> bool;
  auto ServiceOf(std::string_view name) -> Service&;

  double share;
  FleetRetryBudget& budget;
  HedgeDelay delay;
  std::unordered_map<std::string, Service> services;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_HEDGING_HEDGE_POLICY_H_

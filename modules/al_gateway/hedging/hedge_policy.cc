#include "al_gateway/hedging/hedge_policy.h"

#include <array>

#include "al_gateway/limits/attempt_timeouts.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

namespace {

/** Attempts above this quantile of their route are late. In virtual time, 0.99
   left a longer tail at a share of 0.01 (p99.9 of one slow engine in sixty 236
   ms for 190 ms), 0.80 spent the share on requests that were hardly late (312
   ms), and 0.90 sent more for the same times. */
constexpr double kQuantile = 0.95;

/** In the order of HedgeDecision. */
constexpr std::array<std::string_view, 11> kNames = {
    "send",     "not_repeatable", "begun",       "attempts_used",
    "suspect",  "draining",       "no_time",     "no_upstream",
    "pressure", "share_used",     "budget_used",
};

}  // namespace

auto NameOf(HedgeDecision decision) -> std::string_view {
  return kNames.at(static_cast<std::size_t>(decision));
}

HedgePolicy::HedgePolicy(double share, FleetRetryBudget& budget)
    : share(share), budget(budget), delay(kQuantile) {}

//==============================================================================
// Commands

auto HedgePolicy::BeginRequest(const RouteRule& route,
                               std::string_view service,
                               Instant now) -> std::optional<Duration> {
  if (this->share <= 0.0 || !route.is_repeatable() || route.max_attempts < 2) {
    return std::nullopt;
  }
  Service& counters = this->ServiceOf(service);
  counters.share.RecordRequest();
  counters.pressure.RecordSent(now);
  const Duration late_after = this->delay.DelayOf(route, now);
  // From then on, the attempt is replaced if another upstream can repeat it.
  if (late_after >= FirstByteTimeout(route)) {
    return std::nullopt;
  }
  return late_after;
}

auto HedgePolicy::Decide(const Query& query, Instant now) -> HedgeDecision {
  Service& counters = this->ServiceOf(query.service);
  counters.pressure.RecordLate(now);
  if (!query.route.is_repeatable()) {
    return HedgeDecision::kNotRepeatable;
  }
  if (query.has_begun) {
    return HedgeDecision::kBegun;
  }
  if (query.executions >= query.route.max_attempts) {
    return HedgeDecision::kAttemptsUsed;
  }
  if (query.is_suspect) {
    return HedgeDecision::kSuspect;
  }
  if (query.is_draining) {
    return HedgeDecision::kDraining;
  }
  // Nearly all attempts need less than `waited`.
  if (query.time_left < query.waited) {
    return HedgeDecision::kNoTime;
  }
  if (!query.candidate) {
    return HedgeDecision::kNoUpstream;
  }
  if (IsUnderPressure(query, counters.pressure, now)) {
    return HedgeDecision::kPressure;
  }
  if (!counters.share.HasRoom()) {
    return HedgeDecision::kShareUsed;
  }
  if (!this->budget.TryTake(query.service, query.routers, now)) {
    return HedgeDecision::kRetryBudgetUsed;
  }
  counters.share.RecordHedge();
  return HedgeDecision::kSend;
}

auto HedgePolicy::RecordLatency(const RouteRule& route,
                                Duration latency,
                                Instant now) -> void {
  if (this->share > 0.0 && route.is_repeatable()) {
    this->delay.Record(route, latency, now);
  }
}

auto HedgePolicy::RecordRefusal(std::string_view service, Instant now) -> void {
  this->ServiceOf(service).pressure.RecordRefusal(now);
}

auto HedgePolicy::IsUnderPressure(const Query& query,
                                  const ServicePressure& pressure,
                                  Instant now) -> bool {
  const Candidate& candidate = *query.candidate;
  // The rest of a late attempt is about as long as it has lasted: the times of
  // late attempts spread over more than a factor of two. The other routers have
  // about as many requests open there as this one.
  return pressure.IsShort(now) || candidate.expected >= query.waited ||
         candidate.open_requests * query.routers >= candidate.slots;
}

auto HedgePolicy::ServiceOf(std::string_view name) -> Service& {
  const auto found = this->services.find(std::string(name));
  if (found != this->services.end()) {
    return found->second;
  }
  return this->services
      .emplace(name, Service{HedgeShare(this->share), ServicePressure()})
      .first->second;
}

}  // namespace auburnloft::gateway

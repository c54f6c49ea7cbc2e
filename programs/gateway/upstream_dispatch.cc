#include "gateway/upstream_dispatch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "al_gateway/admission/connection_share.h"
#include "al_gateway/limits/attempt_timeouts.h"
#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

/** Fraction of an upstream's connections that the routers use together. The
   rest is headroom for routers that join or leave. */
constexpr double kUsableConnectionFraction = 0.9;
constexpr int kMinConnections = 4;

constexpr int kLowestPriority = 9;

/** An upstream does not execute a request that has no time left. */
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);

auto MakeQuery(const AttemptParameters& parameters) -> ChoiceQuery {
  ChoiceQuery query;
  query.service = parameters.service;
  query.generation = parameters.metadata.generation
                         ? &*parameters.metadata.generation
                         : nullptr;
  query.version = parameters.version;
  query.route_regions = parameters.route.allowed_regions;
  if (parameters.team != nullptr) {
    query.team_regions = parameters.team->allowed_regions;
  }
  const ServiceRule* const rule =
      parameters.table.FindService(parameters.service);
  if (rule != nullptr && rule->engine) {
    query.memory_capacity = rule->engine->kv_capacity_tokens;
  }
  return query;
}

/** Returns the slowest recent time per token of the upstream, or, if it has
   sent no stream lately, of all upstreams of its service. */
auto SlowestPerToken(const GatewayContext& context,
                     const AttemptParameters& parameters,
                     const UpstreamState& upstream,
                     Instant now) -> std::optional<Duration> {
  std::optional<Duration> slowest = upstream.SlowestPerToken(now);
  if (!slowest) {
    for (const UpstreamDirectory::State& other :
         context.upstreams.UpstreamsOfService(parameters.service)) {
      slowest = std::max(slowest, other->SlowestPerToken(now));
    }
  }
  return slowest;
}

/** Returns whether the attempt can end before this router does, if that is to
   stop. A stream of which nothing is known may last until its deadline. */
auto EndsInTime(const GatewayContext& context,
                const AttemptParameters& parameters,
                const UpstreamChoice& choice,
                Instant now) -> bool {
  if (!context.drain || parameters.route.kind != RouteKind::kStream ||
      parameters.may_have_run) {
    return true;
  }
  Duration longest = parameters.time_left;
  const auto per_token =
      SlowestPerToken(context, parameters, *choice.upstream, now);
  if (parameters.metadata.generation && per_token) {
    longest = std::min(
        longest,
        MaxStreamDuration(parameters.metadata,
                          choice.expected + choice.upstream->ExcessLatency(now),
                          *per_token));
  }
  return context.drain->HasTimeFor(longest, now);
}

auto MakeUpstreamOrders(const AttemptParameters& parameters,
                        const UpstreamState& upstream)
    -> UpstreamRequestMetadata {
  UpstreamRequestMetadata orders;
  orders.instance_id = upstream.record().id;
  orders.team =
      parameters.team != nullptr ? parameters.team->name : std::string();
  orders.time_left = std::max(kMinTimeLeft, parameters.time_left);
  orders.last_event_id = parameters.last_event_id;
  if (parameters.metadata.generation) {
    const int wanted = parameters.team != nullptr && parameters.team->priority
                           ? *parameters.team->priority
                           : parameters.route.priority;
    orders.priority = std::clamp(wanted, 0, kLowestPriority);
  }
  return orders;
}

}  // namespace

auto ConnectionBound(const GatewayContext& context,
                     const AttemptParameters& parameters) -> int {
  const ServiceRule* const rule =
      parameters.table.FindService(parameters.service);
  if (rule == nullptr || rule->max_connections <= 0) {
    return kMinConnections;
  }
  if (context.admission != nullptr && !parameters.metadata.generation) {
    return ConnectionShare(rule->max_connections, context.routers,
                           context.load_ratio);
  }
  const int share =
      static_cast<int>(rule->max_connections * kUsableConnectionFraction) /
      std::max(1, context.routers);
  return std::max(kMinConnections, share);
}

auto OpenAttempt(GatewayContext& context, const AttemptParameters& parameters)
    -> std::unique_ptr<UpstreamAttempt> {
  std::vector<std::string> excluded(parameters.tried_upstreams.begin(),
                                    parameters.tried_upstreams.end());
  ChoiceQuery wanted = MakeQuery(parameters);
  const int bound = ConnectionBound(context, parameters);
  const Instant now = context.loop.Now();
  while (true) {
    wanted.excluded = excluded;
    std::optional<UpstreamChoice> choice = context.chooser.Choose(wanted, now);
    if (!choice) {
      return nullptr;
    }
    const UpstreamRecord& record = choice->upstream->record();
    if (!EndsInTime(context, parameters, *choice, now)) {
      excluded.push_back(record.id);
      continue;
    }
    if (auto connection = context.connections.Acquire(
            record.id, record.address, parameters.metadata.attempt_id, bound)) {
      return std::make_unique<UpstreamAttempt>(context, std::move(*choice),
                                               std::move(connection));
    }
    excluded.push_back(record.id);
  }
}

auto FindUpstream(GatewayContext& context, const AttemptParameters& parameters)
    -> std::optional<UpstreamChoice> {
  ChoiceQuery wanted = MakeQuery(parameters);
  wanted.excluded = parameters.tried_upstreams;
  return context.chooser.Choose(wanted, context.loop.Now());
}

auto HasUpstream(GatewayContext& context, const AttemptParameters& parameters)
    -> bool {
  return FindUpstream(context, parameters).has_value();
}

auto SerializeForAttempt(GatewayContext& context,
                         const AttemptParameters& parameters,
                         const UpstreamAttempt& attempt) -> std::string {
  const UpstreamState& upstream = attempt.upstream();
  const PaceBelief& pace = upstream.pace_belief();
  context.log.WriteLine(DecisionLog::Severity::kRoutine, "send",
                        {{"id", parameters.metadata.attempt_id},
                         {"upstream", upstream.record().id},
                         {"version", upstream.record().version},
                         {"prefill", attempt.choice().prefill_tokens},
                         {"expected_ms", attempt.choice().expected},
                         {"open", upstream.open_requests()},
                         {"late_ms", upstream.ExcessLatency(attempt.sent_at())},
                         {"send", parameters.attempt_number},
                         {"limited", upstream.is_limited() ? 1 : 0},
                         {"pace_percent", pace.percent()},
                         {"pace_source", pace.source_name()}},
                        attempt.sent_at());
  return SerializeRequest(platform::MakeUpstreamRequest(
      parameters.request, MakeUpstreamOrders(parameters, upstream),
      !parameters.table.config().teams.empty()));
}

}  // namespace auburnloft::gateway

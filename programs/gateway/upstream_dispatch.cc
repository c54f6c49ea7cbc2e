#include "gateway/upstream_dispatch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

/** The part of an upstream's connections that routers use: the rest is for
   routers that come and go. */
constexpr double kUsedConnections = 0.9;
constexpr int kLeastConnections = 4;

constexpr int kLeastUrgent = 9;

/** An upstream that is told of no time left would not begin. */
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(1);

/** How many connections to one upstream this router may have open. */
auto ConnectionBound(const SendQuery& query, int routers) -> int {
  const ServiceRule* const rule = query.table.FindService(query.service);
  if (rule == nullptr || rule->max_connections <= 0) {
    return kLeastConnections;
  }
  const int share = static_cast<int>(rule->max_connections * kUsedConnections) /
                    std::max(1, routers);
  return std::max(kLeastConnections, share);
}

auto OrdersFor(const SendQuery& query, const UpstreamState& upstream)
    -> UpstreamRequestMetadata {
  UpstreamRequestMetadata orders;
  orders.instance_id = upstream.record().id;
  orders.team = query.team != nullptr ? query.team->name : std::string();
  orders.time_left = std::max(kLeastTimeLeft, query.time_left);
  orders.last_event_id = query.last_event_id;
  if (query.facts.generation) {
    const int wanted = query.team != nullptr && query.team->priority
                           ? *query.team->priority
                           : query.route.priority;
    orders.priority = std::clamp(wanted, 0, kLeastUrgent);
  }
  return orders;
}

}  // namespace

auto OpenAttempt(GatewayContext& context, const SendQuery& query)
    -> std::unique_ptr<UpstreamAttempt> {
  std::vector<std::string> excluded(query.tried.begin(), query.tried.end());
  ChoiceQuery wanted;
  wanted.service = query.service;
  wanted.generation =
      query.facts.generation ? &*query.facts.generation : nullptr;
  const int bound = ConnectionBound(query, context.routers);
  while (true) {
    wanted.excluded = excluded;
    std::optional<UpstreamChoice> choice =
        context.chooser.Choose(wanted, context.loop.Now());
    if (!choice) {
      return nullptr;
    }
    const UpstreamRecord& record = choice->upstream->record();
    if (auto connection =
            context.connections.Take(record.id, record.address, bound)) {
      return std::make_unique<UpstreamAttempt>(context, std::move(*choice),
                                               std::move(connection));
    }
    excluded.push_back(record.id);
  }
}

auto BytesFor(GatewayContext& context,
              const SendQuery& query,
              const UpstreamAttempt& attempt) -> std::string {
  const UpstreamState& upstream = attempt.upstream();
  context.log.Line(DecisionLog::Weight::kRoutine, "send",
                   {{"id", query.facts.attempt_id},
                    {"upstream", upstream.record().id},
                    {"prefill", attempt.choice().prefill_tokens},
                    {"expected_ms", attempt.choice().expected},
                    {"open", upstream.open_requests()},
                    {"late_ms", upstream.ExcessLatency(attempt.sent_at())},
                    {"send", query.number}},
                   attempt.sent_at());
  return ToBytes(
      platform::MakeUpstreamRequest(query.request, OrdersFor(query, upstream),
                                    !query.table.config().teams.empty()));
}

}  // namespace auburnloft::gateway

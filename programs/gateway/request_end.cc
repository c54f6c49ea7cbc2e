#include "gateway/request_end.h"

#include <algorithm>

#include "al_gateway/limits/execution_counter.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/routing/route_table.h"
#include "al_gateway/streams/event_splitter.h"
#include "gateway/gateway_context.h"
#include "gateway/request_budget.h"
#include "gateway/request_report.h"

namespace auburnloft::gateway {

namespace {

/** Returns the tokens that the request took from its team's budget. */
auto UsedTokens(const RequestProgress& progress, const RequestBudget& budget)
    -> std::uint64_t {
  if (budget.reserved() == 0 || progress.execution_counter.never_executed()) {
    return 0;
  }
  const std::uint64_t output =
      std::min(progress.metadata.generation->max_output_tokens,
               progress.event_splitter.event_count() *
                   TokensPerEvent(*progress.table, progress.service));
  return progress.metadata.generation->prompt_tokens + output;
}

}  // namespace

auto ReportEnd(GatewayContext& context,
               const RequestProgress& progress,
               RequestBudget& budget,
               std::string_view outcome,
               int status,
               std::string_view why) -> void {
  const Instant now = context.loop.Now();
  RequestReport report;
  report.id = progress.metadata.attempt_id;
  report.outcome = outcome;
  report.status = status;
  report.why = why;
  report.attempts = progress.execution_counter.attempts();
  report.executions = progress.execution_counter.executions();
  report.events = progress.event_splitter.event_count();
  report.end = progress.response_end;
  report.reserved_tokens = budget.reserved();
  report.used_tokens = UsedTokens(progress, budget);
  report.time_to_first_event = progress.time_to_first_event;
  report.duration = now - progress.arrived_at;
  if (progress.table != nullptr) {
    report.config_version = progress.table->config().version;
  }
  if (progress.route != nullptr) {
    report.route = progress.route->name;
  }
  budget.Settle(report.used_tokens);
  if (progress.team != nullptr) {
    report.team = progress.team->name;
    report.available_tokens =
        context.allowance_manager.Available(progress.team->name);
  }
  context.metrics.CountRequest(outcome);
  LogRequest(context.log, report, now);
}

auto TokensPerEvent(const RouteTable& table, std::string_view service)
    -> std::uint64_t {
  const ServiceRule* const rule = table.FindService(service);
  return rule != nullptr && rule->engine ? rule->engine->tokens_per_event : 1;
}

}  // namespace auburnloft::gateway

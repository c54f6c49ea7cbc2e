#include "gateway/state_dump.h"

#include <nlohmann/json.hpp>

#include "gateway/evacuation_handler.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

namespace {

/** Adds the paces that are believed of engines and the loads of others there.
 */
auto AddEnginePaces(const GatewayContext& context, nlohmann::json& state)
    -> void {
  state["engine_paces"] = nlohmann::json::array();
  const Instant now = context.loop.Now();
  context.upstreams.VisitServices(
      [&state, now](std::span<const UpstreamDirectory::State> upstreams) {
        constexpr std::int64_t kMicrosPerMilli = 1'000;
        for (const UpstreamDirectory::State& upstream : upstreams) {
          const PaceBelief& pace = upstream->pace_belief();
          const OthersLoad& others = upstream->others();
          const bool has_pace = pace.source != PaceBelief::Source::kNone;
          const bool has_load = ReportWeight(others.at, now) > 0.0;
          if (!has_pace && !has_load) {
            continue;
          }
          nlohmann::json& item = state["engine_paces"].emplace_back();
          item["upstream"] = upstream->record().id;
          item["pace_percent"] = pace.percent();
          item["source"] = pace.source_name();
          if (has_pace) {
            item["age_ms"] = (now - pace.learned_at).count() / kMicrosPerMilli;
          }
          if (has_load) {
            item["reported_generations"] = others.observed.generations;
            item["reported_prefill_tokens"] = others.observed.prefill_tokens;
            item["load_age_ms"] = (now - others.at).count() / kMicrosPerMilli;
          }
        }
      });
}

}  // namespace

auto DumpState(const StateDumpInput& view) -> std::string {
  nlohmann::json state;
  state["router"] = view.self.name;
  state["incarnation"] = view.self.incarnation;
  state["config_version"] =
      view.context.table ? view.context.table->config().version : 0;
  state["log_in_touch"] = view.context.is_log_reachable;
  state["open_requests"] = view.context.open_requests.size();
  state["sockets"] = view.sockets;
  state["upstreams"] = view.upstreams;
  state["cold_upstreams"] =
      view.context.cold_upstreams.CountCold(view.context.loop.Now());
  state["log_lines_left_out"] = view.context.log.dropped_lines();
  state["evacuated_domains"] = nlohmann::json::array();
  for (const std::string& domain : view.context.evacuations.table().Domains()) {
    int open = 0;
    const auto upstreams = view.context.upstreams.UpstreamsOfDomain(domain);
    for (const UpstreamDirectory::State& upstream : upstreams) {
      open += upstream->open_requests();
    }
    state["evacuated_domains"].push_back({{"domain", domain},
                                          {"upstreams", upstreams.size()},
                                          {"open_requests", open}});
  }
  state["routers"] = nlohmann::json::array();
  view.fleet.registry().VisitAll(
      view.fleet.last_read_at(),
      [&state](const RouterAnnouncement& router, bool is_active) {
        state["routers"].push_back({{"name", router.name},
                                    {"incarnation", router.incarnation},
                                    {"domain", router.domain},
                                    {"alive", is_active},
                                    {"leaving", router.leaving},
                                    {"config_version", router.config_version},
                                    {"log_era", router.log_era}});
      });
  state["allowances"] = nlohmann::json::array();
  view.fleet.ledger().VisitAll([&state](const AllowanceEntry& entry) {
    state["allowances"].push_back({{"team", entry.team},
                                   {"holder", entry.holder},
                                   {"taken", entry.taken_tokens},
                                   {"settled", entry.settled_tokens}});
  });
  state["quarantined_parts"] = nlohmann::json::array();
  for (const CrashReport::Quarantine& item :
       view.context.quarantine.quarantines()) {
    state["quarantined_parts"].push_back(
        {{"suspect", item.suspect},
         {"trials", item.trials},
         {"ends_at_ms", ToUnixMillis(item.ends_at)}});
  }
  state["upstream_limits"] = nlohmann::json::array();
  view.context.limits.VisitAll([&state](const UpstreamProcess& upstream,
                                        double per_second, bool is_sender) {
    state["upstream_limits"].push_back({{"upstream", upstream.id},
                                        {"requests_per_second", per_second},
                                        {"is_sender", is_sender}});
  });
  AddEnginePaces(view.context, state);
  return state.dump();
}

}  // namespace auburnloft::gateway

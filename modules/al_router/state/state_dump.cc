#include "al_router/state/state_dump.h"

#include <nlohmann/json.hpp>

namespace auburnloft {

namespace {

using nlohmann::json;

auto RoleText(PartitionKeeper::Role role) -> std::string {
  switch (role) {
    case PartitionKeeper::Role::kIdle:
      return "idle";
    case PartitionKeeper::Role::kCatchingUp:
      return "catching_up";
    case PartitionKeeper::Role::kTakingOver:
      return "taking_over";
    case PartitionKeeper::Role::kKeeping:
      break;
  }
  return "keeping";
}

auto DumpConfig(const RouterCore& core) -> json {
  const ConfigFollower& follower = core.config_follower();
  json out;
  out["version"] = follower.state_machine().version();
  out["in_force"] =
      core.configuration() == nullptr ? 0 : core.configuration()->version;
  out["findings"] = json::array();
  for (const Finding& finding : follower.findings().all()) {
    out["findings"].push_back(
        {{"place", finding.location}, {"text", finding.text}});
  }
  return out;
}

auto DumpRouters(const RouterCore& core) -> json {
  json out = json::array();
  for (const auto& [name, router] : core.membership().routers()) {
    out.push_back({{"name", name.value()},
                   {"domain", router.vm.domain.value()},
                   {"incarnation", router.incarnation.value()},
                   {"open_requests", router.open_requests},
                   {"draining", router.draining}});
  }
  return out;
}

auto DumpUpstreams(Instant now, const RouterCore& core) -> json {
  json out = json::array();
  for (const UpstreamPool::Member& member : core.pool().members()) {
    out.push_back({{"name", member.upstream.id.value()},
                   {"own_quick", member.own_interactive},
                   {"own_patient", member.own_background},
                   {"reported_running", member.report.running},
                   {"reported_waiting", member.report.waiting},
                   {"leaving", member.leaving},
                   {"ejected", now < member.ejected_until},
                   {"believed_prefix_blocks", member.prefixes.size()}});
  }
  return out;
}

auto DumpAllowances(Instant now, const BudgetCoordinator& budget) -> json {
  json out = json::array();
  for (const auto& [team, allowance] : budget.allowance_table().teams()) {
    out.push_back(
        {{"team", team.value()},
         {"free", allowance.free},
         {"reserved", allowance.reserved},
         {"received", allowance.received},
         {"tokens_per_second", budget.allowance_table().RateOf(now, team)}});
  }
  return out;
}

auto DumpKeepers(Instant now, const RouterCore& core) -> json {
  json out = json::array();
  for (const auto& [partition, keeper] : core.keepers().keepers()) {
    out.push_back({{"partition", partition},
                   {"role", RoleText(keeper->role())},
                   {"epoch", keeper->ledger().epoch()},
                   {"next_offset", keeper->ledger().next_offset()},
                   {"pending", keeper->pending()},
                   {"stalled", keeper->IsStalled(now)},
                   {"appends", keeper->appends()}});
  }
  return out;
}

auto DumpRequests(const RequestManager& request_manager) -> json {
  const RequestCounters& counts = request_manager.counters();
  json refused = json::object();
  for (std::size_t i = 0; i < counts.refused.size(); ++i) {
    if (counts.refused[i] > 0) {
      refused[std::string(ToText(static_cast<RefusalCode>(i)))] =
          counts.refused[i];
    }
  }
  return {{"open", request_manager.open()},
          {"queued", request_manager.queued()},
          {"arrived", counts.arrived},
          {"answered", counts.completed},
          {"replayed", counts.replayed},
          {"upstream_sends", counts.upstream_sends},
          {"retries", counts.retries},
          {"resumptions", counts.resumptions},
          {"callers_gone", counts.caller_disconnects},
          {"waited_for_tokens", counts.waited_for_tokens},
          {"refused", refused}};
}

}  // namespace

auto DumpState(Instant now, const RouterCore& core) -> std::string {
  json out;
  out["router"] = core.settings().name.value();
  out["incarnation"] = core.settings().incarnation.value();
  out["domain"] = core.settings().vm.domain.value();
  out["draining"] = core.IsDraining();
  out["drained"] = core.IsDrained(now);
  out["configuration"] = DumpConfig(core);
  out["routers"] = DumpRouters(core);
  out["upstreams"] = DumpUpstreams(now, core);
  out["keepers"] = DumpKeepers(now, core);
  out["outbox"] = core.outbox()->size();
  if (core.request_manager() != nullptr) {
    out["requests"] = DumpRequests(*core.request_manager());
    out["allowances"] = DumpAllowances(now, *core.budget());
    out["witness"] = {
        {"copies_held", core.witness()->copies_held()},
        {"released_unprotected", core.witness()->released_unprotected()}};
  }
  return out.dump(2);
}

}  // namespace auburnloft

#include "al_gateway/config_check/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** A router keeps a large body up to three times: as it was received, for a
   retry, and as it is sent. */
constexpr std::size_t kBodyCopies = 3;

/** Fraction of attempts that fail on a bad day, for which the retries that a
   route allows should fit the fleet's ratio. */
constexpr double kFailingFraction = 0.1;

auto At(std::string_view list, std::size_t index) -> std::string {
  return "/" + std::string(list) + "/" + std::to_string(index);
}

auto NameOf(const RouteRule& route) -> std::string {
  return route.name.empty() ? route.host + route.path_prefix : route.name;
}

/** The fields of an entry as text, by their names in the configuration. */
using Fields = std::map<std::string, std::string>;

auto FieldsOf(const RouteRule& route) -> Fields {
  std::string services;
  for (const ServiceShare& share : route.services) {
    services += share.service + "=" + std::to_string(share.weight) + " ";
  }
  return {{"Host", route.host},
          {"PathPrefix", route.path_prefix},
          {"Type", std::to_string(static_cast<int>(route.kind))},
          {"Service", services},
          {"TimeoutMs", std::to_string(route.timeout.count())},
          {"SloMs", std::to_string(route.latency_objective.count())},
          {"GapTargetMs", std::to_string(route.event_gap_objective.count())},
          {"MaxAttempts", std::to_string(route.max_attempts)},
          {"Priority", std::to_string(route.priority)},
          {"Public", std::to_string(static_cast<int>(route.needs_key))},
          {"Resumable", std::to_string(static_cast<int>(route.resumable))},
          {"Sticky", std::to_string(static_cast<int>(route.carries_prompt))}};
}

auto FieldsOf(const ServiceRule& service) -> Fields {
  Fields fields = {{"MaxConns", std::to_string(service.max_connections)}};
  if (service.engine) {
    fields["Engine"] = std::to_string(service.engine->batch_slots) + " " +
                       std::to_string(service.engine->kv_capacity_tokens) +
                       " " + std::to_string(service.engine->tokens_per_event);
  }
  return fields;
}

auto FieldsOf(const TeamRule& team) -> Fields {
  std::string keys;  // Compared, never printed.
  for (const std::string& key : team.keys) {
    keys += key + "\n";
  }
  Fields fields = {{"ApiKeys", keys}};
  if (team.prepaid_tokens) {
    fields["Prepaid"] = std::to_string(*team.prepaid_tokens);
  }
  if (team.priority) {
    fields["Priority"] = std::to_string(*team.priority);
  }
  return fields;
}

auto FieldsOf(const Http1SessionLimits& limits) -> Fields {
  return {{"MaxHeaderBytes", std::to_string(limits.request.header_bytes)},
          {"MaxBodyBytes", std::to_string(limits.request.body_bytes)},
          {"HeaderTimeoutMs", std::to_string(limits.header_timeout.count())},
          {"IdleTimeoutMs", std::to_string(limits.idle_timeout.count())}};
}

/** All entries of a configuration by name; of equal names the first. */
auto EntriesOf(const FleetConfig& config) -> std::map<std::string, Fields> {
  std::map<std::string, Fields> entries;
  for (const RouteRule& route : config.routes) {
    entries.emplace("route " + NameOf(route), FieldsOf(route));
  }
  for (const ServiceRule& service : config.services) {
    entries.emplace("service " + service.name, FieldsOf(service));
  }
  for (const TeamRule& team : config.teams) {
    entries.emplace("team " + team.name, FieldsOf(team));
  }
  entries.emplace("limits", FieldsOf(config.limits));
  return entries;
}

auto ChangedFields(Fields before, Fields after) -> std::vector<std::string> {
  std::vector<std::string> names;
  Fields all = before;
  all.insert(after.begin(), after.end());
  for (const auto& [name, value] : all) {
    if (before.contains(name) != after.contains(name) ||
        before[name] != after[name]) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

auto ConfigCheck::Check(const FleetConfig& config) const -> Findings {
  Findings findings;
  CheckMatches(config, findings);
  CheckTeams(config, findings);
  CheckServices(config, findings);
  this->CheckLimits(config, findings);
  return findings;
}

auto ConfigCheck::Compare(const FleetConfig& before, const FleetConfig& after)
    -> std::vector<Difference> {
  const auto old_entries = EntriesOf(before);
  const auto new_entries = EntriesOf(after);
  std::vector<Difference> differences;
  for (const auto& [name, fields] : old_entries) {
    const auto found = new_entries.find(name);
    if (found == new_entries.end()) {
      differences.push_back({name, "removed", {}});
    } else if (fields != found->second) {
      differences.push_back(
          {name, "changed", ChangedFields(fields, found->second)});
    }
  }
  for (const auto& [name, fields] : new_entries) {
    if (!old_entries.contains(name)) {
      differences.push_back({name, "added", {}});
    }
  }
  return differences;
}

auto ConfigCheck::CheckMatches(const FleetConfig& config, Findings& findings)
    -> void {
  std::map<std::pair<std::string, std::string>, std::string> seen;
  for (std::size_t i = 0; i < config.routes.size(); ++i) {
    const RouteRule& route = config.routes[i];
    if (!route.path_prefix.starts_with('/') ||
        !route.path_prefix.ends_with('/')) {
      findings.Add(At("Routes", i) + "/PathPrefix",
                   "matches no path: it must begin and end with a slash");
    }
    const auto [first, is_new] =
        seen.emplace(std::pair(route.host, route.path_prefix), NameOf(route));
    if (!is_new) {
      findings.Add(At("Routes", i), "is hidden by the route " + first->second +
                                        " with the same host and prefix");
    }
    const bool has_weight = std::ranges::any_of(
        route.services,
        [](const ServiceShare& share) { return share.weight > 0.0; });
    for (const ServiceShare& share : route.services) {
      if (has_weight && share.weight <= 0.0) {
        findings.Add(At("Routes", i) + "/Backends",
                     "the service " + share.service +
                         " gets no requests: its weight is not above 0");
      }
    }
  }
}

auto ConfigCheck::CheckTeams(const FleetConfig& config, Findings& findings)
    -> void {
  std::map<std::string, std::string> owners;
  for (std::size_t i = 0; i < config.teams.size(); ++i) {
    const TeamRule& team = config.teams[i];
    if (team.keys.empty()) {
      findings.Add(At("Tenants", i),
                   "the team " + team.name + " has no key: it matches nothing");
    }
    for (const std::string& key : team.keys) {
      const auto [owner, is_new] = owners.emplace(key, team.name);
      if (!is_new) {
        findings.Add(At("Tenants", i) + "/ApiKeys",
                     "a key of the team " + team.name +
                         " belongs to the team " + owner->second);
      }
    }
  }
}

auto ConfigCheck::CheckServices(const FleetConfig& config, Findings& findings)
    -> void {
  std::set<std::string> routed;
  std::set<std::string> listed;
  for (const ServiceRule& service : config.services) {
    listed.insert(service.name);
  }
  for (std::size_t i = 0; i < config.routes.size(); ++i) {
    for (const ServiceShare& share : config.routes[i].services) {
      routed.insert(share.service);
      if (!listed.contains(share.service)) {
        findings.Add(At("Routes", i),
                     "the service " + share.service + " is not listed");
      }
    }
  }
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    if (!routed.contains(config.services[i].name)) {
      findings.Add(At("Services", i),
                   "no route leads to the service " + config.services[i].name);
    }
  }
}

auto ConfigCheck::CheckLimits(const FleetConfig& config,
                              Findings& findings) const -> void {
  for (std::size_t i = 0; i < config.routes.size(); ++i) {
    const RouteRule& route = config.routes[i];
    if (route.timeout < route.latency_objective) {
      findings.Add(At("Routes", i) + "/TimeoutMs",
                   "is below SloMs: the objective cannot be missed");
    }
    const int retries = route.max_attempts - 1;
    if (retries > 0 && !route.is_repeatable()) {
      findings.Add(At("Routes", i) + "/MaxAttempts",
                   "is above 1, but its requests may be executed once only");
    } else if (retries * kFailingFraction > this->fleet.retry_ratio) {
      findings.Add(At("Routes", i) + "/MaxAttempts",
                   "allows more retries than the fleet's retry ratio if a "
                   "tenth of the attempts fails");
    }
  }
  if (config.limits.request.body_bytes >
      this->fleet.body_memory_bytes / kBodyCopies) {
    findings.Add("/Limits/MaxBodyBytes",
                 "is above a third of a router's memory for large bodies, "
                 "which are kept up to three times");
  }
}

}  // namespace auburnloft::gateway

#include "al_gateway/routing/route_table.h"

#include <utility>

namespace auburnloft::gateway {

namespace {

template <typename Map>
auto FindIn(const Map& map, std::string_view key) -> typename Map::mapped_type {
  const auto found = map.find(std::string(key));
  return found == map.end() ? nullptr : found->second;
}

auto RouteKey(std::string_view host, std::string_view prefix) -> std::string {
  std::string key(host);
  key += ' ';  // Never part of a host name.
  key += prefix;
  return key;
}

}  // namespace

RouteTable::RouteTable(FleetConfig config) : settings(std::move(config)) {
  for (const RouteRule& route : this->settings.routes) {
    this->routes.emplace(RouteKey(route.host, route.path_prefix), &route);
  }
  for (const TeamRule& team : this->settings.teams) {
    for (const std::string& key : team.keys) {
      this->teams.emplace(key, &team);
    }
  }
  for (const ServiceRule& service : this->settings.services) {
    this->services.emplace(service.name, &service);
  }
}

auto RouteTable::FindRoute(std::string_view host, std::string_view path) const
    -> const RouteRule* {
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    if (const RouteRule* const route =
            FindIn(this->routes, RouteKey(host, path.substr(0, slash + 1)))) {
      return route;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

auto RouteTable::FindTeam(std::string_view key) const -> const TeamRule* {
  return FindIn(this->teams, key);
}

auto RouteTable::FindService(std::string_view name) const
    -> const ServiceRule* {
  return FindIn(this->services, name);
}

auto RouteTable::ChooseService(const RouteRule& route, double point)
    -> std::string_view {
  double total_weight = 0.0;
  for (const ServiceShare& share : route.services) {
    total_weight += share.weight;
  }
  double cumulative_weight = 0.0;
  for (const ServiceShare& share : route.services) {
    cumulative_weight += share.weight;
    if (point * total_weight < cumulative_weight) {
      return share.service;
    }
  }
  return route.services.empty()
             ? std::string_view()
             : std::string_view(route.services.back().service);
}

}  // namespace auburnloft::gateway

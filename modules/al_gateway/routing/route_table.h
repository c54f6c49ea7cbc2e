#ifndef AL_GATEWAY_ROUTING_ROUTE_TABLE_H_
#define AL_GATEWAY_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

/** Finds the route, the service and the team of a request in one version of the
   configuration.

    Routes and teams that it returns live as long as the table; a request keeps
   the table that it began with.

    Thread safety: immutable.
*/
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  RouteTable(const RouteTable&) = delete;
  auto operator=(const RouteTable&) -> RouteTable& = delete;

  /** The route of `host` with the longest prefix that begins `path`; null where
     there is none. */
  [[nodiscard]] auto FindRoute(std::string_view host,
                               std::string_view path) const -> const RouteRule*;

  /** The team that holds `key`; null where none does. */
  [[nodiscard]] auto FindTeam(std::string_view key) const -> const TeamRule*;

  /** The service by name; null where it is not configured. */
  [[nodiscard]] auto FindService(std::string_view name) const
      -> const ServiceRule*;

  /** The service that `route` sends a part of its requests to.
      @param point  in [0, 1): where in the weights the request falls. */
  [[nodiscard]] static auto ChooseService(const RouteRule& route, double point)
      -> std::string_view;

  [[nodiscard]] auto config() const -> const FleetConfig& {
    return this->settings;
  }

 private:
  FleetConfig settings;
  std::unordered_map<std::string, const RouteRule*>
      routes;                                              ///< By host+prefix.
  std::unordered_map<std::string, const TeamRule*> teams;  ///< By key.
  std::unordered_map<std::string, const ServiceRule*> services;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ROUTING_ROUTE_TABLE_H_

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

    The returned rules are valid as long as the table exists. A request keeps
   the table with which it started.

    Thread safety: immutable.
*/
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  RouteTable(const RouteTable&) = delete;
  auto operator=(const RouteTable&) -> RouteTable& = delete;

  /** Returns the route of `host` with the longest prefix of `path`, or null if
     there is none. */
  [[nodiscard]] auto FindRoute(std::string_view host,
                               std::string_view path) const -> const RouteRule*;

  /** Returns the team with this key, or null if there is none. */
  [[nodiscard]] auto FindTeam(std::string_view key) const -> const TeamRule*;

  /** Returns a service by name, or null if it is not configured. */
  [[nodiscard]] auto FindService(std::string_view name) const
      -> const ServiceRule*;

  /** Chooses one of the services of `route` by their weights.
      @param point  a random number in [0, 1).
      @return an empty text if the route has no services. */
  [[nodiscard]] static auto ChooseService(const RouteRule& route, double point)
      -> std::string_view;

  [[nodiscard]] auto config() const -> const FleetConfig& {
    return this->settings;
  }

 private:
  FleetConfig settings;
  std::unordered_map<std::string, const RouteRule*> routes;  ///< By RouteKey().
  std::unordered_map<std::string, const TeamRule*> teams;    ///< By key.
  std::unordered_map<std::string, const ServiceRule*> services;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ROUTING_ROUTE_TABLE_H_

#ifndef AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_
#define AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_

#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

class RouterRegistry;

/** Where one router gets the upstreams' records from. */
struct DiscoveryPlan {
  bool reads_log = true;           ///< Whether it reads the log service itself.
  std::vector<std::string> peers;  ///< Readers' addresses, preferred first.

  auto operator==(const DiscoveryPlan&) const -> bool = default;
};

/** Plans whether this router reads the upstreams' records from the log service,
   and otherwise which readers it requests them from.

    Upstreams renew their records continuously, and each reader of the log
   receives every renewal: the traffic grows with routers times upstreams. In a
   large fleet, only a few routers, the readers, read the records and serve the
   changes to the others. The routers whose VMs have the highest link bandwidth
   are the readers; rendezvous hashing decides between equal ones. Routers with
   the same view of the active members choose the same readers without
   exchanging messages.

    @param name    this router's name.
    @param domain  this router's failure domain; readers in it are preferred.
*/
[[nodiscard]] auto PlanDiscovery(const RouterRegistry& registry,
                                 std::string_view name,
                                 std::string_view domain,
                                 Instant now) -> DiscoveryPlan;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_

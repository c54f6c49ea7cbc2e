#ifndef AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_
#define AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_

#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

class RouterRegistry;

/** Where one router learns of upstreams. */
struct DiscoveryPlan {
  bool reads_log = true;
  std::vector<std::string> peers;  ///< Peer addresses of readers, best first.

  auto operator==(const DiscoveryPlan&) const -> bool = default;
};

/** Which routers read the upstreams' entries from the log, and which of these
   the others ask.

    Upstreams renew their entries all the time, and each reader of the log gets
   every renewal: what all routers together read grows as routers times
   upstreams. In a large fleet a few routers read and tell the others only what
   has changed. The VMs with the widest links
    read, and among equals a rendezvous order decides: all routers agree as far
    as they agree who lives, without a word between them.

    @param name    this router.
    @param domain  its failure domain, whose readers are asked first.
*/
[[nodiscard]] auto PlanDiscovery(const RouterRegistry& registry,
                                 std::string_view name,
                                 std::string_view domain,
                                 Instant now) -> DiscoveryPlan;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_DISCOVERY_PLAN_H_

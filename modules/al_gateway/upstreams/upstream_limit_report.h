#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMIT_REPORT_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMIT_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_process.h"

namespace auburnloft::gateway {

/** The limits that upstreams named to one router, for the other routers. Points
   in time are those of the router that holds the report; the wire format
   carries ages instead, as the clocks of routers differ. */
struct UpstreamLimitReport {
  struct Limit {
    UpstreamProcess upstream;
    std::optional<double> per_second;  ///< None: the limit has ended.
    Instant heard_at{};                ///< In the newest response.
  };

  std::string reporter;  ///< Incarnation of the router.
  std::vector<Limit> limits;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMIT_REPORT_H_

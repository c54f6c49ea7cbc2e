#ifndef AL_GATEWAY_UPSTREAMS_OTHERS_ESTIMATE_H_
#define AL_GATEWAY_UPSTREAMS_OTHERS_ESTIMATE_H_

#include <span>

#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

/** Estimates what all other routers have open at the engines of a service, from
   what some of them have. Scaling alone would make an idle engine of one at
   which none of a few routers has a request at the moment, and would send all
   of them there: what the routers observed counts against the mean of the
   service by how much it can tell.
    @param fraction  of the other routers that reported, above 0 and at most 1.
 */
auto EstimateOthers(std::span<const UpstreamDirectory::State> upstreams,
                    double fraction) -> void;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_OTHERS_ESTIMATE_H_

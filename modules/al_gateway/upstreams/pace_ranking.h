#ifndef AL_GATEWAY_UPSTREAMS_PACE_RANKING_H_
#define AL_GATEWAY_UPSTREAMS_PACE_RANKING_H_

#include <span>

#include "al_core/time/instant.h"
#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

/** Compares the learned paces of a service's engines and sets what the
   selection of upstreams uses: each engine's factor of their median, in steps
   of 32%. Engines within 15% of the median have the factor 1, so that a service
   of equal engines is served as without learned paces.

    A factor that nothing new was observed about approaches 1 within some
   seconds, so that a slow engine is tried again. A fresh report of a reader
   has precedence over own observations; its weight falls to zero over 5 s.

    Thread safety: none; used on one thread. */
auto RankPaces(std::span<const UpstreamDirectory::State> upstreams, Instant now)
    -> void;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PACE_RANKING_H_

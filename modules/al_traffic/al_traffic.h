/** Module al_traffic: which upstream serves a request, in which order, and when
   to try again.

    Depends on: al_core, al_config (the model of upstreams and classes).

    Parts:
    - choice/      UpstreamChooser: the concept, the scored choice and three
   baselines
    - upstreams/   UpstreamPool (load, health, shares) and PrefixCacheEstimate
   (what caches may hold)
    - retry/       RetryBudget
    - queue/       DispatchQueue: requests that wait for an upstream, by
   patience
*/
#ifndef AL_TRAFFIC_AL_TRAFFIC_H_
#define AL_TRAFFIC_AL_TRAFFIC_H_

#include "al_traffic/choice/upstream_chooser.h"
#include "al_traffic/queue/dispatch_queue.h"
#include "al_traffic/retry/retry_budget.h"
#include "al_traffic/upstreams/prefix_cache_estimate.h"
#include "al_traffic/upstreams/upstream_pool.h"

#endif  // AL_TRAFFIC_AL_TRAFFIC_H_

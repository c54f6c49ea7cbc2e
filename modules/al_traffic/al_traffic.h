/** Module al_traffic: selects the upstream of a request, orders waiting
   requests and limits retries.

    Depends on: al_core, al_config (the model of upstreams and classes).

    Parts:
    - choice/      UpstreamChooser: the concept of a selection policy, the
   scored policy and three baselines
    - upstreams/   UpstreamPool (load, health, slot shares) and
   PrefixCacheEstimate (estimated contents of the engines' prefix caches)
    - retry/       RetryBudget
    - queue/       DispatchQueue: requests that wait for an upstream, by latency
   class
*/
#ifndef AL_TRAFFIC_AL_TRAFFIC_H_
#define AL_TRAFFIC_AL_TRAFFIC_H_

#include "al_traffic/choice/upstream_chooser.h"
#include "al_traffic/queue/dispatch_queue.h"
#include "al_traffic/retry/retry_budget.h"
#include "al_traffic/upstreams/prefix_cache_estimate.h"
#include "al_traffic/upstreams/upstream_pool.h"

#endif  // AL_TRAFFIC_AL_TRAFFIC_H_

/** Module al_gateway: what a router decides about requests, upstreams, budgets
   and the fleet. It owns no socket, no clock and no random source.

    Depends on: al_core, al_http1 (messages), al_wire (records).

    Parts:
    - model/       what configuration, requests and upstreams say, typed
    - routing/     RouteTable and TeamDirectory
    - upstreams/   UpstreamDirectory, UpstreamSelector and what they remember
    - limits/      FleetRetryBudget: this router's share of the fleet's retries
    - prepaid/     AllowanceLedger and AllowanceManager: budgets without a
   keeper
    - membership/  RouterRegistry: which routers callers are sent to;
   DiscoveryPlan and DiscoverySource: who reads upstreams' entries for whom
*/
#ifndef AL_GATEWAY_AL_GATEWAY_H_
#define AL_GATEWAY_AL_GATEWAY_H_

#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/membership/discovery_plan.h"
#include "al_gateway/membership/discovery_source.h"
#include "al_gateway/membership/router_registry.h"
#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/model/upstream_record.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/allowance_manager.h"
#include "al_gateway/routing/route_table.h"
#include "al_gateway/upstreams/upstream_change_log.h"
#include "al_gateway/upstreams/upstream_directory.h"
#include "al_gateway/upstreams/upstream_selector.h"

#endif  // AL_GATEWAY_AL_GATEWAY_H_

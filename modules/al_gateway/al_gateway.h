/** Module al_gateway: a router's decisions about requests, upstreams, budgets
   and the fleet's members. It uses no sockets, clocks or random sources of its
   own.

    Depends on: al_core, al_http1 (messages), al_wire (records).

    Parts:
    - model/       types of the configuration, request metadata and log records
    - routing/     RouteTable, and Admit(), which forwards or refuses a request
    - admission/   PressureAdmission, TeamShares, MinimumShares and PlaceQueue:
                   which requests begin while capacity is insufficient
    - upstreams/   UpstreamDirectory, UpstreamSelector and their measurements;
                   EnginePace and RankPaces(): how fast engines are;
                   EngineLoadReporter and EngineLoadTable: paces and loads that
                   routers tell each other;
                   UpstreamLimits: requests a second that upstreams take;
                   EvacuationTable: evacuated failure domains;
                   ColdUpstreams: which upstreams are cold, and until when;
                   VersionHistory: software versions that may have begun streams
    - limits/      timeouts, ExecutionCounter, DrainSchedule: planned stops,
                   and FleetRetryBudget: this router's share of the fleet's
                   retries
    - config_check/ ConfigCheck: contradictions in a configuration
    - hedging/     HedgePolicy and HedgeDelay: second attempts of late requests
    - prepaid/     AllowanceLedger and AllowanceManager: budgets without
                   keepers (leaders of ledger partitions); PlanHoldings(): what
                   routers with steady demand and reserve holders hold;
                   TransferRound: which routers to ask for tokens
    - membership/  RouterRegistry: the active routers; DiscoveryPlan and
                   DiscoverySource: which routers read upstream records
    - quarantine/  CrashQuarantine: requests that crash upstreams
    - streams/     EventSplitter: complete events of a stream;
                   StreamOriginTable: where recent streams began;
                   StreamOriginReplicas: which other routers know it
*/
#ifndef AL_GATEWAY_AL_GATEWAY_H_
#define AL_GATEWAY_AL_GATEWAY_H_

#include "al_gateway/admission/connection_share.h"
#include "al_gateway/admission/place_queue.h"
#include "al_gateway/admission/pressure_admission.h"
#include "al_gateway/config_check/config_check.h"
#include "al_gateway/hedging/hedge_delay.h"
#include "al_gateway/hedging/hedge_policy.h"
#include "al_gateway/limits/drain_schedule.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/membership/discovery_plan.h"
#include "al_gateway/membership/discovery_source.h"
#include "al_gateway/membership/router_registry.h"
#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/model/upstream_record.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/allowance_manager.h"
#include "al_gateway/prepaid/holding_plan.h"
#include "al_gateway/prepaid/transfer_round.h"
#include "al_gateway/quarantine/crash_quarantine.h"
#include "al_gateway/quarantine/crash_suspects.h"
#include "al_gateway/routing/route_table.h"
#include "al_gateway/streams/stream_origin_replicas.h"
#include "al_gateway/streams/stream_origin_table.h"
#include "al_gateway/upstreams/cold_upstreams.h"
#include "al_gateway/upstreams/engine_load_reporter.h"
#include "al_gateway/upstreams/engine_load_table.h"
#include "al_gateway/upstreams/engine_pace.h"
#include "al_gateway/upstreams/evacuation_table.h"
#include "al_gateway/upstreams/pace_meter.h"
#include "al_gateway/upstreams/pace_ranking.h"
#include "al_gateway/upstreams/upstream_change_log.h"
#include "al_gateway/upstreams/upstream_directory.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "al_gateway/upstreams/version_history.h"

#endif  // AL_GATEWAY_AL_GATEWAY_H_

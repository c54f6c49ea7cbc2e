#ifndef PROGRAMS_ROUTER_ROUTER_DAEMON_H_
#define PROGRAMS_ROUTER_ROUTER_DAEMON_H_

#include <map>
#include <memory>
#include <string>

#include "al_edge/http/http_client.h"
#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/metrics/latency_histogram.h"
#include "al_edge/peer/peer_socket.h"
#include "al_platform/log/log_client.h"
#include "al_platform/vms/vm_list_client.h"
#include "al_router/core/router_core.h"
#include "al_router/front/front_door.h"
#include "router/request_relay.h"
#include "router/state_change_log.h"
#include "router/upstream_poller.h"

namespace auburnloft {

/** One router process: carries events to the decisions and their actions out.

    Thread safety: none; everything runs on the loop's thread.

    @see RouterCore, RequestRelay
*/
class RouterDaemon {
 public:
  struct Options {
    RouterSettings router;
    std::string platform_address;
    std::string
        admin_key;  ///< For POST /admin/drain; empty: not to be had by HTTP.
    std::size_t max_body_bytes = 1'048'576;
    bool poll_upstreams = true;
  };

  RouterDaemon(EventLoop& loop, Options options);

  RouterDaemon(const RouterDaemon&) = delete;
  auto operator=(const RouterDaemon&) -> RouterDaemon& = delete;

  /** Binds the addresses and starts the timers. @return false where an address
   * is taken. */
  [[nodiscard]] auto Start() -> bool;

  /** Begins to drain; the loop stops when all is done. */
  auto Drain() -> void;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  auto OnRequest(const Exchange& exchange) -> void;
  auto RespondLocally(const Exchange& exchange) -> bool;
  auto OnUpstreamRequest(const Exchange& exchange) -> void;
  auto RespondEntries(const Exchange& exchange) -> void;
  auto RespondMetrics(const Exchange& exchange) -> void;
  auto OnAdminDrain(const Exchange& exchange) -> void;
  auto RespondRefusal(HttpExchange& exchange, const Refusal& refusal) -> void;
  auto MakeRelayCallbacks(RequestHandle handle) -> RequestRelay::Callbacks;

  auto ExecuteActions() -> void;
  auto Execute(SendPeer& action) -> void;
  auto Execute(AppendRecord& action) -> void;
  auto Execute(const ReadRecords& action) -> void;
  auto Execute(const StartUpstream& action) -> void;
  auto Execute(const ResumeUpstream& action) -> void;
  auto Execute(const CancelUpstream& action) -> void;
  auto Execute(const RefuseRequest& action) -> void;
  auto Execute(const ReplayAnswer& action) -> void;
  auto Execute(const ReleaseAnswer& action) -> void;

  auto OnTick() -> void;
  auto FetchVms() -> void;
  auto FindRelay(RequestHandle handle) -> RequestRelay*;

  EventLoop& loop;
  Options options;
  RouterCore core;
  FrontDoor front_door;
  HttpClient http;
  HttpServer server;
  PeerSocket peers;
  LogClient log;
  VmListClient vms;
  UpstreamPoller poller;
  StateChangeLog state_change_log;
  std::map<RequestHandle, std::unique_ptr<RequestRelay>> relays;
  std::map<RequestHandle, Instant> arrivals;
  RequestHandle next_handle = 1;
  LatencyHistogram first_event_latency;
  LatencyHistogram response_latency;
  std::uint64_t events_relayed = 0;
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_ROUTER_DAEMON_H_

#ifndef PROGRAMS_ROUTER_ROUTER_DAEMON_H_
#define PROGRAMS_ROUTER_ROUTER_DAEMON_H_

#include <map>
#include <memory>
#include <string>

#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/metrics/latency_histogram.h"
#include "al_edge/peer/peer_socket.h"
#include "al_http1/http_client.h"
#include "al_platform/log/log_client.h"
#include "al_platform/vms/vm_list_client.h"
#include "al_router/core/router_core.h"
#include "al_router/validation/request_validator.h"
#include "router/request_relay.h"
#include "router/state_change_log.h"
#include "router/upstream_poller.h"

namespace auburnloft {

/** One router process: passes events of the network and of timers to RouterCore
    and executes the actions that it returns.

    Thread safety: none; everything runs on the loop's thread.

    @see RouterCore, RequestRelay
*/
class RouterDaemon {
 public:
  struct Options {
    RouterSettings router;
    std::string platform_address;  ///< Of the log service and the VM list.
    std::string admin_key;  ///< For POST /admin/drain; empty: it is refused.
    std::size_t max_body_bytes = 1'048'576;  ///< Of a caller's request.
    bool poll_upstreams = true;  ///< Whether to poll load and cache changes.
  };

  RouterDaemon(EventLoop& loop, Options options);

  RouterDaemon(const RouterDaemon&) = delete;
  auto operator=(const RouterDaemon&) -> RouterDaemon& = delete;

  /** Binds the addresses and starts the timers.
      @return false if an address cannot be bound. */
  [[nodiscard]] auto Start() -> bool;

  /** Starts to drain. The loop stops once RouterCore is drained and every
     request is closed. */
  auto Drain() -> void;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  auto OnRequest(const Exchange& exchange) -> void;

  /** Responds to a request for one of the router's own endpoints, such as
      `/metrics`.
      @return false if the request is for an upstream. */
  auto RespondLocally(const Exchange& exchange) -> bool;
  auto OnUpstreamRequest(const Exchange& exchange) -> void;
  auto RespondEntries(const Exchange& exchange) -> void;
  auto RespondMetrics(const Exchange& exchange) -> void;
  auto OnAdminDrain(const Exchange& exchange) -> void;
  auto RespondRefusal(HttpExchange& exchange, const Refusal& refusal) -> void;
  auto MakeRelayCallbacks(RequestHandle handle) -> RequestRelay::Callbacks;

  /** Executes the actions of RouterCore until there are none. Call it after
      each event that can lead to actions. */
  auto ExecuteActions() -> void;
  auto Execute(SendPeerMessage& action) -> void;
  auto Execute(AppendRecord& action) -> void;
  auto Execute(const ReadRecords& action) -> void;
  auto Execute(const SendUpstreamRequest& action) -> void;
  auto Execute(const ResumeUpstreamStream& action) -> void;
  auto Execute(const CancelUpstreamRequest& action) -> void;
  auto Execute(const RefuseRequest& action) -> void;
  auto Execute(const ReplayResponse& action) -> void;
  auto Execute(const ReleaseResponse& action) -> void;

  auto OnTick() -> void;
  auto FetchVms() -> void;

  /** Returns null if the request is closed. */
  auto FindRelay(RequestHandle handle) -> RequestRelay*;

  EventLoop& loop;
  Options options;
  RouterCore core;
  RequestValidator request_validator;
  HttpClient http;
  HttpServer server;
  PeerSocket peers;
  LogClient log;
  VmListClient vms;
  UpstreamPoller poller;
  StateChangeLog state_change_log;
  std::map<RequestHandle, std::unique_ptr<RequestRelay>> relays;
  std::map<RequestHandle, Instant> arrivals;  ///< Of the open requests.
  RequestHandle next_handle = 1;
  LatencyHistogram first_event_latency;  ///< To the first content event.
  LatencyHistogram response_latency;     ///< To the end of the response.
  std::uint64_t events_relayed = 0;      ///< Content events of closed requests.
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_ROUTER_DAEMON_H_

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
#include "al_router/validation/request_validator.h"
#include "router/request_relay.h"
#include "router/state_log.h"
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
    std::size_t most_body = 1'048'576;
    bool polls_upstreams = true;
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
  auto OnQuery(const Exchange& exchange) -> bool;
  auto OnWork(const Exchange& exchange) -> void;
  auto TellEntries(const Exchange& exchange) -> void;
  auto TellMetrics(const Exchange& exchange) -> void;
  auto OnAdminDrain(const Exchange& exchange) -> void;
  auto RespondRefusal(HttpExchange& exchange, const Refusal& refusal) -> void;
  auto RelayEventsOf(RequestHandle handle) -> RequestRelay::Events;

  auto Pump() -> void;
  auto CarryOut(SendPeerMessage& action) -> void;
  auto CarryOut(AppendRecord& action) -> void;
  auto CarryOut(const ReadRecords& action) -> void;
  auto CarryOut(const SendUpstreamRequest& action) -> void;
  auto CarryOut(const ResumeUpstreamStream& action) -> void;
  auto CarryOut(const CancelUpstreamRequest& action) -> void;
  auto CarryOut(const RefuseRequest& action) -> void;
  auto CarryOut(const ReplayResponse& action) -> void;
  auto CarryOut(const ReleaseResponse& action) -> void;

  auto OnTick() -> void;
  auto FetchVms() -> void;
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
  StateLog state_log;
  std::map<RequestHandle, std::unique_ptr<RequestRelay>> relays;
  std::map<RequestHandle, Instant> arrivals;
  RequestHandle next_handle = 1;
  LatencyHistogram first_piece;
  LatencyHistogram whole_answer;
  std::uint64_t pieces_relayed = 0;
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_ROUTER_DAEMON_H_

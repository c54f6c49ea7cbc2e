#ifndef GATEWAY_GATEWAY_DAEMON_H_
#define GATEWAY_GATEWAY_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/membership/router_registry.h"
#include "al_http1/heap_trimmer.h"
#include "al_http1/http1_server.h"
#include "al_http1/memory_account.h"
#include "gateway/admission_gate.h"
#include "gateway/allowance_exchange.h"
#include "gateway/config_exchange.h"
#include "gateway/evacuation_handler.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_metrics.h"
#include "gateway/increase_notifier.h"
#include "gateway/stream_origins.h"
#include "gateway/upstream_discovery.h"
#include "gateway/upstream_end_detector.h"
#include "platform/router_address_codec.h"

namespace auburnloft {
class DescriptorPlan;
}

namespace auburnloft::gateway {

/** One router process: serves callers, follows the log service, and drains on
    shutdown, so that requests in progress can finish.

    Thread safety: none; used on the loop's thread.
*/
class GatewayDaemon {
 public:
  struct Options {
    RouterAnnouncement self;
    std::string
        entry_address;  ///< Serves callers' lookups of router addresses.
    std::string readiness_address;  ///< Serves the platform's readiness checks.
    std::string metrics_address;    ///< Empty: no metrics.
    std::string log_address;        ///< Of the platform's log service.
    FleetRetryLimit retry_bound;
    AllowanceSizing allowances;
    /** Within which a stream that is taken up has begun: the longest time-out
       of the users' routes, and the second after which all know a version. */
    Duration stream_lifetime = std::chrono::seconds(16);
    double hedge_share = 0.0;  ///< Second attempts per request; 0: none.
    Duration grace_period =
        std::chrono::seconds(8);  ///< From SIGTERM to the exit.
    /** Regions of failure domains; those of others are unknown. */
    std::map<std::string, std::string> domain_regions;
    std::uint64_t seed = 1;
    std::function<void()> on_stopped;  ///< Called after a drain; if empty, the
                                       ///< loop is stopped instead.
    int log_descriptor = 1;     ///< Output of the decision log; -1: none.
    bool admission = false;     ///< Whether requests pass admission control.
    bool quiet = false;         ///< Whether routine log lines are discarded.
    std::size_t memory_mb = 0;  ///< Of the VM; 0: MemoryAccount::kDefaultVmMb.
    std::size_t max_descriptors = 0;  ///< 0: the limit of the process.
  };

  GatewayDaemon(EventLoop& loop, Options options);
  ~GatewayDaemon();

  GatewayDaemon(const GatewayDaemon&) = delete;
  auto operator=(const GatewayDaemon&) -> GatewayDaemon& = delete;

  /** Starts to listen and to follow the log. @return false if listening on an
      address fails. */
  [[nodiscard]] auto Start() -> bool;

  /** Starts a drain: announces that this router leaves, goes on serving
      requests that can be answered in the grace period, returns unspent
      allowances, answers what is still open, and stops. */
  auto Drain() -> void;

  /** Logs that SIGHUP was received. Settings come from the arguments and the
      environment of the process, so that only a restart applies new ones. */
  auto LogHangup() -> void;

  /** The state of the process as JSON. */
  [[nodiscard]] auto StateDump() const -> std::string;

 private:
  /** One of the addresses at which this router listens. */
  struct Address {
    std::string_view name;  ///< In log lines.
    const std::string& address;
    std::size_t max_connections;
    bool takes_bodies;
    std::function<bool(const Http1RequestHead&)> is_useful;
  };

  /** Starts the server of callers; the first one of `servers`. */
  auto StartCallerServer(const DescriptorPlan& plan) -> bool;
  /** Starts the servers of the entry, readiness, peer and metrics addresses. */
  auto StartOtherServers(const DescriptorPlan& plan) -> bool;
  auto StartServer(Address address, Http1ServerSession::OnRequest call) -> bool;
  /** Returns whether a caller's request has a route and a key. */
  [[nodiscard]] auto HasRoute(const Http1RequestHead& head) const -> bool;
  auto OnRouterAddressRequest(Http1ServerSession& session,
                              const Http1Request& request) -> void;
  /** Returns the region of a caller; empty if it is unknown. */
  [[nodiscard]] auto RegionOf(
      const platform::RouterAddressQuery& question) const -> std::string;
  auto OnReadinessRequest(Http1ServerSession& session,
                          const Http1Request& request) -> void;
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;
  auto OnMetricsRequest(Http1ServerSession& session,
                        const Http1Request& request) -> void;

  auto StartLogFollowers() -> void;
  /** Starts or ends the reading of configurations from the log, depending on
     whether a reader passes them on. */
  auto UpdateConfigSource() -> void;
  auto OnOperatorRecord(const KeyedRecord& record) -> void;
  auto ApplyConfig(const std::string& text) -> void;
  auto OnContact(bool answered) -> void;
  /** Handles that the log was restored from an older copy.
      @param previous  none at the first contact with the log. */
  auto OnLogEra(std::optional<std::uint64_t> previous) -> void;
  auto OnShortage(const std::string& team) -> void;
  auto OnTick() -> void;
  /** Updates how many connections are closed to spread callers evenly. */
  /** Records by how much the loop was late since the last tick. */
  auto RecordLateness(Instant now) -> void;
  auto UpdateLoadShare(Instant now) -> void;
  /** Records that an upstream has ended under requests of this router. */
  auto OnUpstreamEnded(const UpstreamProcess& upstream) -> void;
  auto OnUpstreamCold(const ColdUpstreams::Change& change) -> void;
  auto LogQuarantineChange(const CrashQuarantine::Change& change) -> void;
  auto LogWeighedEvidence(const CrashEvidence::Weighing& weighing) -> void;
  auto OnDrainTick() -> void;
  /** Returns the allowances that no open request needs, through the log or to
     other routers. */
  auto ReturnAllowances(const std::function<void()>& on_done) -> void;
  auto FinishDrain() -> void;
  auto StopWhenResponsesAreSent() -> void;
  [[nodiscard]] auto ready() const -> bool;

  EventLoop& loop;
  Options options;
  SocketPoller poller;
  RandomSource random;
  DecisionLog log;
  GatewayMetrics metrics;
  LogEra log_era;
  UpstreamConnectionPool connections;
  UpstreamDirectory upstreams;
  UpstreamLimits upstream_limits;
  ColdUpstreams cold_upstreams;
  EvacuationHandler evacuations;
  UpstreamSelector chooser;
  FleetRetryBudget retry_budget;
  AllowanceManager allowance_manager;
  ReservationQueue reservations;
  CrashQuarantine quarantine;
  UpstreamEndDetector end_detector;
  GatewayContext context;
  std::optional<AdmissionGate> admission;  ///< None if it is off.
  FleetTopicClient fleet_topic;
  IncreaseNotifier increase_notifier;
  AllowanceExchange allowance_exchange;
  UpstreamDiscovery upstream_discovery;
  ConfigExchange config_exchange;
  StreamOrigins stream_origins;
  std::unique_ptr<TopicFollower> config_follower;
  std::string first_config;  ///< Held until all evacuations are known.
  Http1SessionLimits limits;
  std::shared_ptr<MemoryAccount> memory;
  HeapTrimmer heap_trimmer;
  std::vector<std::unique_ptr<Http1Server>>
      servers;  ///< First: the one for callers.
  std::unique_ptr<LoopTimer> tick_timer;
  std::unique_ptr<LoopTimer> drain_timer;
  std::unique_ptr<LoopTimer> stop_timer;
  std::optional<Instant> stopping_since;  ///< End of the drain.
  bool allowances_returned = false;
  Instant surplus_returned_at{};
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_GATEWAY_DAEMON_H_

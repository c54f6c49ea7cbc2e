#ifndef GATEWAY_GATEWAY_DAEMON_H_
#define GATEWAY_GATEWAY_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/membership/router_registry.h"
#include "al_http1/http1_server.h"
#include "gateway/fleet_link.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_link.h"
#include "gateway/upstream_feed.h"

namespace auburnloft::gateway {

/** One router process: listens for callers, follows the log, and shuts down
   without cutting a request off.

    Thread safety: none; used on the loop's thread.
*/
class GatewayDaemon {
 public:
  struct Options {
    RouterAnnouncement self;
    std::string entry_address;      ///< Where callers ask where to connect.
    std::string readiness_address;  ///< Where the platform asks for readiness.
    std::string metrics_address;    ///< Empty: no metrics.
    std::string log_address;        ///< The platform's log.
    FleetRetryLimit retry_bound;
    Duration grace = std::chrono::seconds(8);  ///< From SIGTERM to the end.
    std::uint64_t seed = 1;
    std::function<void()> on_ended;  ///< After a drain; ends the loop if empty.
    int log_descriptor = 1;          ///< Where log lines go; -1: nowhere.
    bool quiet = false;  ///< Whether routine log lines are left out.
  };

  GatewayDaemon(EventLoop& loop, Options options);
  ~GatewayDaemon();

  GatewayDaemon(const GatewayDaemon&) = delete;
  auto operator=(const GatewayDaemon&) -> GatewayDaemon& = delete;

  /** Begins to listen and to follow the log. @return false where an address
     cannot be listened on. */
  [[nodiscard]] auto Start() -> bool;

  /** Stops taking new callers, finishes what runs, and ends the loop. */
  auto Drain() -> void;

  /** Logs that the settings may have changed. They come with the environment of
     the process, so that a new start is what applies them. */
  auto NoteHangup() -> void;

  /** What the process knows, as JSON. */
  [[nodiscard]] auto StateDump() const -> std::string;

 private:
  auto OpenDoor(const std::string& address, Http1ServerSession::OnRequest call)
      -> bool;
  auto OnEntryQuestion(Http1ServerSession& session, const Http1Request& request)
      -> void;
  auto OnReadinessQuestion(Http1ServerSession& session,
                           const Http1Request& request) -> void;
  auto OnPeerQuestion(Http1ServerSession& session, const Http1Request& request)
      -> void;
  auto OnMetricsQuestion(Http1ServerSession& session,
                         const Http1Request& request) -> void;

  auto FollowLog() -> void;
  auto OnConfigRecord(const KeyedRecord& record) -> void;
  auto OnContact(bool answered) -> void;
  auto OnShortage(const std::string& team) -> void;
  auto OnTick() -> void;
  auto OnDrainTick() -> void;
  auto FinishDrain() -> void;
  [[nodiscard]] auto ready() const -> bool;

  EventLoop& loop;
  Options options;
  SocketPoller poller;
  RandomSource random;
  DecisionLog log;
  GatewayMetrics metrics;
  UpstreamConnections connections;
  UpstreamDirectory upstreams;
  UpstreamSelector chooser;
  FleetRetryBudget retries;
  AllowanceManager desk;
  BudgetGate budgets;
  GatewayContext context;
  FleetLink fleet;
  PeerLink peers;
  UpstreamFeed feed;
  std::unique_ptr<TopicFollower> config_follower;
  Http1SessionLimits limits;
  std::vector<std::unique_ptr<Http1Server>> doors;  ///< The callers' first.
  std::unique_ptr<LoopTimer> tick;
  std::unique_ptr<LoopTimer> drain_tick;
  std::optional<Instant> draining_since;
  bool returning = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_GATEWAY_DAEMON_H_

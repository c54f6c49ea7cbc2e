#ifndef GATEWAY_UPSTREAM_FEED_H_
#define GATEWAY_UPSTREAM_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/membership/discovery_source.h"
#include "al_gateway/upstreams/upstream_change_log.h"
#include "al_http1/http1_caller.h"
#include "al_http1/http1_server_session.h"
#include "al_logstore/topic_follower.h"
#include "gateway/fleet_link.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

/** Keeps the directory of upstreams up to date: from the log, or in a large
   fleet from a router that reads the log for others. Where this router is such
   a reader, it answers the others.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamFeed {
 public:
  /** Where other routers ask for news, on the port between routers. */
  static constexpr std::string_view kPath = "/upstreams";

  struct Settings {
    std::string log_address;
    std::string name;  ///< Of this router.
    std::string incarnation;
    std::string domain;
  };

  /** @param on_contact  called with each call to the log: whether it answered.
   */
  UpstreamFeed(SocketPoller& poller,
               Settings settings,
               const FleetLink& fleet,
               GatewayContext& context,
               std::function<void(bool answered)> on_contact);
  ~UpstreamFeed();

  UpstreamFeed(const UpstreamFeed&) = delete;
  auto operator=(const UpstreamFeed&) -> UpstreamFeed& = delete;

  /** Begins; call once the fleet's routers were listed, so that a large fleet
     that starts at once does not read the log all together. */
  auto Start() -> void;

  /** Chooses the source anew by who lives now. */
  auto Plan() -> void;

  /** Answers another router's question. */
  auto OnAsk(Http1ServerSession& session, const Http1Request& request) -> void;

 private:
  auto Step() -> void;

  // From the log.
  auto ReadLog() -> void;
  auto OnRecord(const KeyedRecord& record) -> void;
  auto OnListed(const std::set<std::string>& ids) -> void;
  auto OnLogContact(bool answered) -> void;

  // From a reader.
  auto AskPeer() -> void;
  auto OnNews(const std::optional<Http1Caller::Reply>& reply) -> void;
  auto Apply(const UpstreamUpdate& news) -> void;
  [[nodiscard]] auto log_in_touch(Instant now) const -> bool;

  SocketPoller& poller;
  Settings settings;
  const FleetLink& fleet;
  GatewayContext& context;
  std::function<void(bool answered)> contact;
  DiscoverySource source;
  std::unique_ptr<LoopTimer> timer;
  std::unique_ptr<TopicFollower> follower;     ///< While the log is read.
  std::unique_ptr<UpstreamChangeLog> history;  ///< What followers may ask for.
  std::uint64_t histories = 0;                 ///< Begun by this process.
  bool listed = false;  ///< Whether the history is whole.
  Instant read_at{};    ///< When the log last answered the follower.
  std::unique_ptr<Http1Caller> caller;  ///< To `asked_peer`.
  std::string asked_peer;  ///< Whose numbers `asked_life` and `after` are.
  std::string asked_life;
  std::uint64_t after = 0;
  bool started = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_FEED_H_

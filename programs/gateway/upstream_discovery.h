#ifndef GATEWAY_UPSTREAM_DISCOVERY_H_
#define GATEWAY_UPSTREAM_DISCOVERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/membership/feed_source.h"
#include "al_gateway/upstreams/upstream_history.h"
#include "al_http1/http1_caller.h"
#include "al_http1/http1_server_session.h"
#include "al_logstore/topic_follower.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

/** Keeps the directory of upstreams up to date: from the log, or in a large
   fleet from a router that reads the log for others. Where this router is such
   a reader, it answers the others.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamDiscovery {
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
  UpstreamDiscovery(SocketPoller& poller,
                    Settings settings,
                    const FleetTopicClient& fleet,
                    GatewayContext& context,
                    std::function<void(bool answered)> on_contact);
  ~UpstreamDiscovery();

  UpstreamDiscovery(const UpstreamDiscovery&) = delete;
  auto operator=(const UpstreamDiscovery&) -> UpstreamDiscovery& = delete;

  /** Begins; call once the fleet's routers were listed, so that a large fleet
     that starts at once does not read the log all together. */
  auto Start() -> void;

  /** Chooses the source anew by who lives now. */
  auto UpdatePlan() -> void;

  /** Answers another router's question. */
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;

 private:
  auto Poll() -> void;

  // From the log.
  auto ReadLog() -> void;
  auto OnRecord(const KeyedRecord& record) -> void;
  auto OnListed(const std::set<std::string>& ids) -> void;
  auto OnLogContact(bool answered) -> void;

  // From a reader.
  auto RequestFromReader() -> void;
  auto OnReaderReply(const std::optional<Http1Caller::Reply>& reply) -> void;
  auto Apply(const UpstreamNews& update) -> void;
  [[nodiscard]] auto IsLogReachable(Instant now) const -> bool;

  SocketPoller& poller;
  Settings settings;
  const FleetTopicClient& fleet;
  GatewayContext& context;
  std::function<void(bool answered)> on_contact;
  FeedSource source;
  std::unique_ptr<LoopTimer> timer;
  std::unique_ptr<TopicFollower> follower;      ///< While the log is read.
  std::unique_ptr<UpstreamHistory> change_log;  ///< What followers may ask for.
  std::uint64_t change_log_count = 0;           ///< Begun by this process.
  bool listed = false;    ///< Whether the history is whole.
  Instant log_read_at{};  ///< When the log last answered the follower.
  std::unique_ptr<Http1Caller> reader_connection;  ///< To `reader_address`.
  std::string
      reader_address;  ///< Whose numbers `reader_incarnation` and `after` are.
  std::string reader_incarnation;
  std::uint64_t last_change = 0;  ///< Number of the last change received.
  bool started = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_DISCOVERY_H_

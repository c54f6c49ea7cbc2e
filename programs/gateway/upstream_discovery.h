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
#include "al_gateway/membership/discovery_source.h"
#include "al_gateway/upstreams/engine_load_reporter.h"
#include "al_gateway/upstreams/engine_load_table.h"
#include "al_gateway/upstreams/upstream_change_log.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "al_logstore/topic_follower.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/gateway_context.h"

namespace auburnloft::wire {
class EngineStates;
}  // namespace auburnloft::wire

namespace auburnloft::gateway {

/** Keeps the directory of upstreams up to date: from the log service, or in a
   large fleet from a reader, a router that reads the upstream records from the
   log and serves them to other routers. If this router is a reader, it serves
   them.

    Routers tell their reader with each request what they have open at engines
   and how fast these are, and the reader replies with the sums over its
   routers.

    Readers pass new configurations on, too. The log's bandwidth for reads is
   shared by all routers, and a configuration with thousands of routes takes
   hundreds of kilobytes.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamDiscovery {
 public:
  /** Path for requests of other routers, at the peer address. */
  static constexpr std::string_view kPath = "/upstreams";

  struct Settings {
    std::string log_address;
    std::string name;  ///< Of this router.
    std::string incarnation;
    std::string domain;
  };

  struct Callbacks {
    /** A call to the log ended; `answered` if it had a valid reply. */
    std::function<void(bool answered)> on_contact;
    /** A reader sent a configuration, as the log has it. */
    std::function<void(const std::string& text)> on_config;
  };

  UpstreamDiscovery(SocketPoller& poller,
                    Settings settings,
                    LogEra& era,
                    const FleetTopicClient& fleet,
                    GatewayContext& context,
                    Callbacks callbacks);
  ~UpstreamDiscovery();

  UpstreamDiscovery(const UpstreamDiscovery&) = delete;
  auto operator=(const UpstreamDiscovery&) -> UpstreamDiscovery& = delete;

  /** Starts; call it after the routers of the fleet were listed, so that not
     all routers of a large fleet read the log when they start together. */
  auto Start() -> void;

  /** Updates the choice of the source after changes of the active routers. */
  auto UpdatePlan() -> void;

  /** Sets the configuration that this router passes on if it is a reader.
      @param text  as the log has it. */
  auto SetConfig(std::uint64_t version, std::shared_ptr<const std::string> text)
      -> void;

  /** Returns whether this router follows the log itself: it is a reader, its
     readers do not reply, or it has not started yet. */
  [[nodiscard]] auto reads_log() const -> bool;

  /** Returns whether the reader asked last tells the evacuated domains; one of
     an older version does not. */
  [[nodiscard]] auto learns_evacuations() const -> bool {
    return this->reader_tells_evacuations;
  }

  /** Returns how old the directory is: the time since this router, or the
     reader that it asks, read the log. */
  [[nodiscard]] auto DirectoryAge(Instant now) const -> Duration {
    return now - this->directory_as_of;
  }

  /** Replies to another router's request for upstream updates. */
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;

 private:
  auto Poll() -> void;

  // From the log.
  auto ReadLog() -> void;
  auto OnRecord(const KeyedRecord& record) -> void;
  /** Logs and counts a record that names no upstream, once. */
  auto OnUnreadable(const KeyedRecord& record) -> void;
  auto OnListed(const std::set<std::string>& ids) -> void;
  auto OnLogContact(bool answered) -> void;

  // From a reader.
  auto RequestFromReader() -> void;
  auto OnReaderReply(const std::optional<Http1Client::Reply>& reply) -> void;
  auto Apply(const UpstreamUpdate& update) -> void;
  auto PutUpstream(const UpstreamRecord& record) -> void;
  /** @param is_new_life  whether this is the first reply of the reader, or of
                          its life. */
  auto ApplyEngineStates(const wire::EngineStates& message, bool is_new_life)
      -> void;
  /** Logs and counts what was left out of a router's or a reader's report about
     engines, if it was anything. */
  auto LogDropped(std::string_view source, std::size_t dropped) -> void;
  [[nodiscard]] auto IsLogReachable(Instant now) const -> bool;

  SocketPoller& poller;
  Settings settings;
  LogEra& era;
  const FleetTopicClient& fleet;
  GatewayContext& context;
  Callbacks callbacks;
  DiscoverySource source;
  std::unique_ptr<LoopTimer> timer;
  std::unique_ptr<TopicFollower> follower;  ///< Null unless the log is read.
  std::unique_ptr<UpstreamChangeLog> change_log;  ///< Serves other routers.
  std::uint64_t change_log_count = 0;             ///< Started by this process.
  std::set<std::string> unreadable;  ///< Keys of records that were logged.
  bool listed = false;               ///< Whether the change log is complete.
  Instant log_read_at{};             ///< When the follower last had a reply.
  Instant directory_as_of{};
  std::unique_ptr<Http1Client> reader_connection;  ///< To `reader_address`.
  std::string reader_address;                      ///< The reader asked last.
  std::string reader_incarnation;
  std::uint64_t last_change = 0;       ///< Number of the last change received.
  EngineLoadReporter engine_reporter;  ///< To the reader.
  EngineLoadTable engine_loads;        ///< Of the routers that request updates.
  std::uint64_t config_version = 0;
  std::shared_ptr<const std::string>
      config_text;               ///< Null unless other routers may request it.
  Instant config_received_at{};  ///< From a reader.
  bool reader_tells_evacuations = true;
  bool started = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_DISCOVERY_H_

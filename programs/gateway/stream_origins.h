#ifndef GATEWAY_STREAM_ORIGINS_H_
#define GATEWAY_STREAM_ORIGINS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/streams/stream_origin_replicas.h"
#include "al_gateway/upstreams/version_history.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "al_net/socket_poller.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_client_pool.h"
#include "gateway/version_history_exchange.h"

namespace auburnloft::gateway {

/** Knows, together with the other routers, at which software version a stream
    began that its caller takes up.

    While upstreams of more than one version are listed, or this router could
    not name the only one from what it has seen, a router that forwards
    the first event of a stream tells two others, which follow from the
   attempt's id; while it leaves, it does so in any case. The router at which
   the stream is taken up asks these. A stream that nobody knows goes on only if
   one version alone can have begun it: see docs/design/stream-versions.md.

    Thread safety: none; used on the loop's thread.
*/
class StreamOrigins {
 public:
  /** Paths for requests of other routers, at the peer address. */
  static constexpr std::string_view kNewsPath = "/stream-news";
  static constexpr std::string_view kAskPath = "/stream-origin";
  static constexpr std::string_view kHistoryPath =
      VersionHistoryExchange::kPath;

  /** How a version was found; its name is written to the log. */
  struct Answer {
    std::string version;  ///< Empty: none can be named.
    std::string service;  ///< At which the stream began; empty: unknown.
    std::string_view source;
  };
  using OnAnswer = std::function<void(const Answer&)>;

  /** @param stream_lifetime  within which a stream that is taken up has begun.
      @param directory_age    returns how old the directory is. */
  StreamOrigins(SocketPoller& poller,
                std::string own_incarnation,
                const FleetTopicClient& fleet,
                const UpstreamDirectory& directory,
                Duration stream_lifetime,
                std::function<Duration()> directory_age,
                DecisionLog& log,
                GatewayMetrics& metrics);
  ~StreamOrigins();

  StreamOrigins(const StreamOrigins&) = delete;
  auto operator=(const StreamOrigins&) -> StreamOrigins& = delete;

  //============================================================================
  // Commands

  /** Records a stream whose first event is forwarded, or of which is learned
     that its version is in doubt.
      @param is_told_always  whether others are told also while one version of
     its service is listed. */
  auto Record(StreamOrigin origin, bool is_told_always) -> void;

  /** Finds the version at which a stream began. Calls `on_answer` once, perhaps
     before it returns; within half a second in any case.
      @param attempt_id  as the caller names it; may be empty.
      @param request_id  for the log. */
  auto Find(const std::string& attempt_id,
            const std::string& service,
            const std::string& request_id,
            OnAnswer on_answer) -> void;

  /** Drops what is out of date, and tells of streams that have to be told now,
     and routers that have joined. Call it twice a second. */
  auto Update() -> void;

  /** Tells others of all streams from now on, as this router leaves. */
  auto BeginLeaving() -> void;

  /** Replies to another router. @pre `request` has one of the paths above. */
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;

 private:
  struct Search;
  /** What another router has to be told. */
  struct Outbox {
    std::vector<StreamOriginReplicas::News> news;
    bool is_sending = false;  ///< News are under way.
  };

  /** Sends what is queued in `replicas`. */
  auto SendAllNews() -> void;
  auto SendNews(const std::string& address) -> void;
  /** @param stays  whether the router at `address` does not leave. */
  auto Ask(const std::string& address,
           bool stays,
           const std::string& message,
           const std::shared_ptr<Search>& search) -> void;
  auto OnReply(Search& search,
               bool stays,
               const std::optional<Http1Client::Reply>& reply) -> void;
  /** Names the only version that is listed, or none. */
  auto Decide(Search& search) -> void;
  auto Finish(Search& search, const Answer& answer) -> void;
  [[nodiscard]] auto IsFresh() const -> bool;
  /** Returns since when no stream can have begun at a version that is missing
     in a whole list of upstreams of now. */
  [[nodiscard]] auto CoveredSince(Instant now) const -> Instant;
  /** Returns whether other routers have to be told of a service's streams: what
     was listed would not name the version of one that nobody knows. */
  [[nodiscard]] auto MustTell(const std::string& service, Instant now) const
      -> bool;

  SocketPoller& poller;
  std::string own_incarnation;
  const FleetTopicClient& fleet;
  std::function<Duration()> directory_age;
  DecisionLog& log;
  GatewayMetrics& metrics;
  StreamOriginReplicas replicas;
  VersionHistory history;
  PeerClientPool clients;
  VersionHistoryExchange history_exchange;
  std::map<std::string, Outbox> outboxes;  ///< By peer address.
  std::size_t open_searches = 0;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_STREAM_ORIGINS_H_

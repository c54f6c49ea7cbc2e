#ifndef GATEWAY_VERSION_HISTORY_EXCHANGE_H_
#define GATEWAY_VERSION_HISTORY_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/upstreams/version_history.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "al_net/socket_poller.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"
#include "gateway/peer_client_pool.h"

namespace auburnloft::gateway {

/** Completes the version history of a router that has just started with those
    of other routers, so that a fleet that is restarted router by router keeps
    what it has seen.

    Thread safety: none; used on the loop's thread.
*/
class VersionHistoryExchange {
 public:
  /** Path for requests of other routers, at the peer address. */
  static constexpr std::string_view kPath = "/version-history";

  /** @param is_fresh  returns whether this router's list of upstreams is whole
                       and not old.
      @pre the arguments outlive the exchange. */
  VersionHistoryExchange(SocketPoller& poller,
                         PeerClientPool& clients,
                         const FleetTopicClient& fleet,
                         VersionHistory& history,
                         std::function<bool()> is_fresh,
                         DecisionLog& log);

  VersionHistoryExchange(const VersionHistoryExchange&) = delete;
  auto operator=(const VersionHistoryExchange&)
      -> VersionHistoryExchange& = delete;

  /** Asks the next routers while the history is not complete. Call it twice a
     second. */
  auto Update() -> void;

  /** Replies to another router. */
  auto OnPeerRequest(Http1ServerSession& session) -> void;

 private:
  auto OnReply(const std::string& address,
               const std::optional<Http1Client::Reply>& reply) -> void;
  /** Returns the peer addresses of the other routers. Those that leave come
     first: they have run for long, and are gone soon. */
  [[nodiscard]] auto Sources() const -> std::vector<std::string>;

  SocketPoller& poller;
  PeerClientPool& clients;
  const FleetTopicClient& fleet;
  VersionHistory& history;
  std::function<bool()> is_fresh;
  DecisionLog& log;
  std::size_t asked = 0;    ///< Routers, since the start.
  std::size_t pending = 0;  ///< Replies.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_VERSION_HISTORY_EXCHANGE_H_

#ifndef GATEWAY_CONFIG_EXCHANGE_H_
#define GATEWAY_CONFIG_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "al_net/socket_poller.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"

namespace auburnloft::gateway {

/** Requests the newest configuration from other routers if the log service may
   have an older one: a log that was restored from an older copy lacks it until
   the operator writes it again. A router that starts in between would serve
   routes and keys that the others have dropped.

    Which configurations others have follows from their announcements. This
   router serves its own configuration to them, too.

    Thread safety: none; used on the loop's thread.
*/
class ConfigExchange {
 public:
  /** Path for requests of other routers, at the peer address. */
  static constexpr std::string_view kPath = "/configuration";

  /** @param on_config  called with a configuration that another router sent, as
                        the log had it. */
  ConfigExchange(SocketPoller& poller,
                 std::string own_name,
                 const FleetTopicClient& fleet,
                 DecisionLog& log,
                 std::function<void(const std::string& text)> on_config);
  ~ConfigExchange();

  ConfigExchange(const ConfigExchange&) = delete;
  auto operator=(const ConfigExchange&) -> ConfigExchange& = delete;

  /** Sets the configuration that is in force here.
      @param text  as the log had it. */
  auto SetConfig(std::uint64_t version, std::shared_ptr<const std::string> text)
      -> void;

  /** Requests a newer configuration if another router has announced one; call
     it at regular intervals. */
  auto Update() -> void;

  /** Replies to another router's request for a newer configuration. */
  auto OnPeerRequest(Http1ServerSession& session,
                     const Http1Request& request) const -> void;

 private:
  /** Returns an active router with a newer configuration that was not asked
     yet; null if there is none. */
  [[nodiscard]] auto FindNewer() const -> const RouterAnnouncement*;
  auto Request(const RouterAnnouncement& peer) -> void;

  SocketPoller& poller;
  std::string own_name;
  const FleetTopicClient& fleet;
  DecisionLog& log;
  std::function<void(const std::string& text)> on_config;
  std::uint64_t version = 0;
  std::shared_ptr<const std::string> text;  ///< Null before the first one.
  Instant started_at;
  std::optional<Instant> behind_since;  ///< Since others have a newer one.
  std::set<std::string> asked;  ///< Names of routers that sent no newer one.
  std::unique_ptr<Http1Client> connection;  ///< To the router asked last.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_CONFIG_EXCHANGE_H_

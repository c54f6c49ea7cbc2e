#ifndef GATEWAY_INCREASE_NOTIFIER_H_
#define GATEWAY_INCREASE_NOTIFIER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/allowance_manager.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "al_logstore/log_era.h"
#include "al_net/socket_poller.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"

namespace auburnloft::gateway {

/** Sends increases of this router's allowances that the log has recorded to the
   other routers of a small fleet. When all have confirmed them, they are
   spendable, well before all have read them from the log.

    In a large fleet the messages would cost more than the wait saves: most
   routers get tokens by transfers there.

    Thread safety: none; used on the loop's thread.
*/
class IncreaseNotifier {
 public:
  /** Path for requests of other routers, at the peer address. */
  static constexpr std::string_view kPath = "/allowance-increases";

  /** @param on_spendable  called for each team whose increase was confirmed. */
  IncreaseNotifier(SocketPoller& poller,
                   std::string own_incarnation,
                   const LogEra& era,
                   FleetTopicClient& fleet,
                   AllowanceManager& allowance_manager,
                   DecisionLog& log,
                   std::function<void(const std::string& team)> on_spendable);
  ~IncreaseNotifier();

  IncreaseNotifier(const IncreaseNotifier&) = delete;
  auto operator=(const IncreaseNotifier&) -> IncreaseNotifier& = delete;

  /** Sends an increase that was read back from the log, together with others
     that were read at the same time. */
  auto Send(const AllowanceEntry& entry) -> void;

  /** Replies to another router that sent its increases. */
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;

 private:
  auto SendAll() -> void;
  [[nodiscard]] auto PeerAddresses() const -> std::set<std::string>;
  auto OnReply(const std::optional<Http1Client::Reply>& reply) -> void;
  auto EndRound() -> void;

  SocketPoller& poller;
  std::string own_incarnation;
  const LogEra& era;
  FleetTopicClient& fleet;
  AllowanceManager& allowance_manager;
  DecisionLog& log;
  std::function<void(const std::string& team)> on_spendable;
  std::map<std::string, std::unique_ptr<Http1Client>> connections;
  std::unique_ptr<LoopTimer> timer;
  std::vector<AllowanceEntry> waiting;  ///< For the next round.
  std::vector<AllowanceEntry> sent;     ///< In the round in progress.
  std::size_t pending_replies = 0;
  bool all_confirmed = false;  ///< So far in the round in progress.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_INCREASE_NOTIFIER_H_

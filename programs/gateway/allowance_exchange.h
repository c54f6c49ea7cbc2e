#ifndef GATEWAY_ALLOWANCE_EXCHANGE_H_
#define GATEWAY_ALLOWANCE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "al_gateway/prepaid/allowance_manager.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"

namespace auburnloft::gateway {

/** Transfers allowances between routers without the log: from the routers that
    hold a team's reserve to those that need tokens, and unused ones back.

    The requester asks one router after another until it has enough tokens. If a
    router does not reply soon, the next one is asked as well. The sender of a
    transfer counts the tokens as spent before it replies: a lost reply makes
   the tokens unusable, but never duplicates them. The same holds for tokens
   that are handed back.

    Thread safety: none; used on the loop's thread.
*/
class AllowanceExchange {
 public:
  struct Callbacks {
    /** Tokens of a team were received. */
    std::function<void(const std::string& team)> on_tokens_received;
    /** All routers were asked, and more tokens are needed. */
    std::function<void(const std::string& team)> on_peers_exhausted;
    /** Another router requested more tokens than this one could send. */
    std::function<void()> on_partial_transfer;
  };

  AllowanceExchange(SocketPoller& poller,
                    std::string own_incarnation,
                    AllowanceManager& allowance_manager,
                    const FleetTopicClient& fleet,
                    DecisionLog& log,
                    Callbacks callbacks);
  ~AllowanceExchange();

  AllowanceExchange(const AllowanceExchange&) = delete;
  auto operator=(const AllowanceExchange&) -> AllowanceExchange& = delete;

  /** Requests the tokens of a team that this router needs. Does nothing while a
      round for the team is in progress. */
  auto RequestTokens(const std::string& team) -> void;

  /** Hands the tokens that this router does not need to reserve holders. */
  auto ReturnSurplus() -> void;

  /** Hands all uncommitted tokens to reserve holders, at shutdown.
      @param on_done  runs after the last reply or timeout, at once if there is
                      nothing to hand over. */
  auto HandOverAll(const std::function<void()>& on_done) -> void;

  /** Replies to another router's request for tokens, or accepts the tokens that
      it hands over. */
  auto OnPeerRequest(Http1ServerSession& session, const Http1Request& request)
      -> void;

 private:
  struct Peer {
    std::string incarnation;
    std::string address;
    std::uint64_t unspent = 0;  ///< By its last entry in the log.
  };
  struct Round;

  auto OnTransferRequest(Http1ServerSession& session,
                         const Http1Request& request) -> void;
  auto OnHandover(Http1ServerSession& session, const Http1Request& request)
      -> void;
  auto HandOver(const std::vector<TeamTokens>& amounts,
                const std::function<void()>& on_done) -> void;
  auto OnHandoverReply(const std::string& address,
                       const std::vector<TeamTokens>& amounts,
                       const std::optional<Http1Client::Reply>& reply) -> void;
  [[nodiscard]] auto ReceiverFor(const std::string& team) const
      -> const RouterAnnouncement*;
  [[nodiscard]] auto SelectPeers(const std::string& team) const
      -> std::vector<Peer>;
  auto RequestFromNextPeer(Round& round) -> void;
  auto RequestFrom(const Peer& peer, Round& round, std::uint64_t tokens)
      -> bool;
  auto OnTransfer(const Peer& peer,
                  const std::string& team,
                  std::uint64_t requested_tokens,
                  const std::optional<Http1Client::Reply>& reply) -> void;
  auto FindIdleConnection(const std::string& address) -> Http1Client*;

  SocketPoller& poller;
  std::string own_incarnation;
  AllowanceManager& allowance_manager;
  const FleetTopicClient& fleet;
  DecisionLog& log;
  Callbacks callbacks;
  std::map<std::string, std::vector<std::unique_ptr<Http1Client>>> connections;
  std::map<std::string, std::unique_ptr<Round>> rounds;  ///< By team.
  std::map<std::string, Instant> skipped_since;          ///< By team and peer.
  std::map<std::string, std::string> last_sender;  ///< Incarnation, by team.
  bool accepts_handovers = true;  ///< False after HandOverAll().
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_ALLOWANCE_EXCHANGE_H_

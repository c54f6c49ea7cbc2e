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
#include "al_gateway/prepaid/transfer_round.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server_session.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_topic_client.h"

namespace auburnloft::gateway {

/** Transfers allowances between routers without the log: from the routers that
    hold a team's reserve to those that need tokens, and unused ones back.

    TransferRound decides which routers are asked for how much. The sender of a
    transfer counts the tokens as spent before it replies: a lost reply makes
   the tokens unusable, but never duplicates them. A reply is waited for long
   after requests have given up on it: over a busy link, or after a cut, it
   arrives late, and its tokens are used then. The same holds for tokens that
   are handed back.

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

  /** Requests the tokens of a team that this router needs, less those that
      were requested and have not arrived yet. */
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
  /** Requests tokens of one team. */
  struct Round;
  /** A connection to another router, and the last call on it. */
  struct PeerConnection {
    std::unique_ptr<Http1Client> client;
    Instant called_at{};
  };
  /** What is known about reaching another router. */
  struct PeerLink {
    std::vector<PeerConnection> connections;
    Instant called_at{};   ///< Last call.
    Instant replied_at{};  ///< Last reply.
  };

  auto OnTransferRequest(Http1ServerSession& session,
                         const Http1Request& request) -> void;
  auto OnHandover(Http1ServerSession& session, const Http1Request& request)
      -> void;
  auto HandOver(const std::vector<TeamTokens>& amounts,
                Duration timeout,
                const std::function<void()>& on_done) -> void;
  auto OnHandoverReply(const std::string& address,
                       const std::vector<TeamTokens>& amounts,
                       const std::optional<Http1Client::Reply>& reply) -> void;
  [[nodiscard]] auto ReceiverFor(const std::string& team) const
      -> const RouterAnnouncement*;
  [[nodiscard]] auto SelectPeers(const std::string& team) const
      -> std::vector<TransferRound::Peer>;
  auto Continue(Round& round) -> void;
  /** Sends a request. If there is no connection for it, it has failed. */
  auto Send(const TransferRound::Ask& ask, Round& round) -> bool;
  auto OnTransfer(const TransferRound::Ask& ask,
                  const std::string& team,
                  const std::optional<Http1Client::Reply>& reply) -> void;
  auto Skip(const std::string& team, const std::string& incarnation) -> void;
  /** Returns a connection for a call now; null if there is none, or if the
     router does not reply and was called a moment ago. */
  [[nodiscard]] auto FindIdleConnection(const std::string& address)
      -> PeerConnection*;
  /** Returns whether a router owes a reply for longer than usual, and has not
     replied to a later call. */
  [[nodiscard]] auto IsUnresponsive(const PeerLink& link) const -> bool;

  SocketPoller& poller;
  std::string own_incarnation;
  AllowanceManager& allowance_manager;
  const FleetTopicClient& fleet;
  DecisionLog& log;
  Callbacks callbacks;
  std::map<std::string, PeerLink> links;  ///< By address.
  Duration usual_reply_time{0};           ///< Running mean, of other routers.
  std::map<std::string, std::unique_ptr<Round>> rounds;  ///< By team.
  std::map<std::string, Instant> skipped_since;          ///< By team and peer.
  std::map<std::string, std::string> last_sender;  ///< Incarnation, by team.
  bool accepts_handovers = true;  ///< False after HandOverAll().
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_ALLOWANCE_EXCHANGE_H_

#ifndef GATEWAY_PEER_LINK_H_
#define GATEWAY_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_gateway/prepaid/allowance_desk.h"
#include "al_http1/http1_caller.h"
#include "al_http1/http1_server_session.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_link.h"

namespace auburnloft::gateway {

/** Allowances passed between routers without the log: while it is away, or when
   all of a budget is out.

    The giver counts the tokens as spent before it answers; an answer that is
   lost strands them, and never doubles them.

    Thread safety: none; used on the loop's thread.
*/
class PeerLink {
 public:
  using OnReceived = std::function<void(const std::string& team)>;

  PeerLink(SocketPoller& poller,
           std::string own_incarnation,
           AllowanceDesk& desk,
           const FleetLink& fleet,
           DecisionLog& log,
           OnReceived on_received);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  auto operator=(const PeerLink&) -> PeerLink& = delete;

  /** Asks the routers that seem to have most of the team's budget in hand for
     what is short. Does nothing while an ask for the team is under way. */
  auto AskFor(const std::string& team) -> void;

  /** Answers another router's ask. */
  auto OnAsk(Http1ServerSession& session, const Http1Request& request) -> void;

 private:
  struct Peer {
    std::string incarnation;
    std::string address;
    std::uint64_t unspent = 0;  ///< As its last entry tells.
  };

  [[nodiscard]] auto RichestPeers(const std::string& team) const
      -> std::vector<Peer>;
  auto Ask(const Peer& peer, const std::string& team, std::uint64_t tokens)
      -> void;
  auto OnGift(const std::string& peer,
              const std::string& team,
              const std::optional<Http1Caller::Reply>& reply) -> void;
  auto CallerTo(const Peer& peer) -> Http1Caller*;

  SocketPoller& poller;
  std::string self;
  AllowanceDesk& desk;
  const FleetLink& fleet;
  DecisionLog& log;
  OnReceived received;
  std::map<std::string, std::vector<std::unique_ptr<Http1Caller>>> callers;
  std::map<std::string, int> asks_open;  ///< By team.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_PEER_LINK_H_

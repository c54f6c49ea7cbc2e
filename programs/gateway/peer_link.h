#ifndef GATEWAY_PEER_LINK_H_
#define GATEWAY_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "al_gateway/prepaid/allowance_manager.h"
#include "al_http1/http1_caller.h"
#include "al_http1/http1_server_session.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_link.h"

namespace auburnloft::gateway {

/** Allowances passed between routers without the log: from those that hold a
   team's reserve to those that are short of it.

    One router after the other is asked until nothing is short; one that is slow
   to answer does not hold the next one up. The giver counts the tokens as spent
   before it answers; an answer that is lost strands them, and never doubles
   them.

    Thread safety: none; used on the loop's thread.
*/
class PeerLink {
 public:
  struct Callbacks {
    /** Tokens of a team came. */
    std::function<void(const std::string& team)> on_received;
    /** All routers were asked, and tokens are still short. */
    std::function<void(const std::string& team)> on_exhausted;
  };

  PeerLink(SocketPoller& poller,
           std::string own_incarnation,
           AllowanceManager& desk,
           const FleetLink& fleet,
           DecisionLog& log,
           Callbacks callbacks);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  auto operator=(const PeerLink&) -> PeerLink& = delete;

  /** Asks for what is short of a team's budget. Does nothing while a round for
     the team is under way. */
  auto AskFor(const std::string& team) -> void;

  /** Answers another router's ask. */
  auto OnAsk(Http1ServerSession& session, const Http1Request& request) -> void;

 private:
  struct Peer {
    std::string incarnation;
    std::string address;
    std::uint64_t unspent = 0;  ///< As its last entry tells.
  };
  struct Round;

  [[nodiscard]] auto PeersWith(const std::string& team) const
      -> std::vector<Peer>;
  auto AskNext(Round& round) -> void;
  auto Ask(const Peer& peer, Round& round, std::uint64_t tokens) -> bool;
  auto OnGift(const Peer& peer,
              const std::string& team,
              std::uint64_t asked,
              const std::optional<Http1Caller::Reply>& reply) -> void;
  auto CallerTo(const Peer& peer) -> Http1Caller*;

  SocketPoller& poller;
  std::string self;
  AllowanceManager& desk;
  const FleetLink& fleet;
  DecisionLog& log;
  Callbacks calls;
  std::map<std::string, std::vector<std::unique_ptr<Http1Caller>>> callers;
  std::map<std::string, std::unique_ptr<Round>> rounds;  ///< By team.
  std::map<std::string, Instant> drained;  ///< By team and peer: when it was.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_PEER_LINK_H_

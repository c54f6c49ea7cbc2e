#include "gateway/allowance_exchange.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "fleet.pb.h"
#include "gateway/peer_message.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);
constexpr std::string_view kPath = "/allowance";

/** Timeout for the reply of another router. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

/** Without a reply for this long, the next router is asked as well: a few round
   trips between failure domains. */
constexpr Duration kNextPeerDelay = std::chrono::milliseconds(15);

/** Maximum number of routers asked in one round. */
constexpr int kMaxPeersPerRound = 8;

/** How long a router is skipped after it transferred less than was requested,
   or did not reply. */
constexpr Duration kSkipDuration = std::chrono::milliseconds(1'000);

/** Maximum connections to one router, for requests for several teams at once.
 */
constexpr std::size_t kMaxConnectionsPerPeer = 2;

auto SkipKey(const std::string& team, const std::string& peer) -> std::string {
  return team + "/" + peer;
}

}  // namespace

/** Requests tokens of one team from one router after another. */
struct AllowanceExchange::Round {
  std::string team;
  std::vector<Peer>
      peers;  ///< Not asked yet, in the order to allowance_request.
  int pending_replies = 0;  ///< Requests without a reply.
  std::unique_ptr<LoopTimer> next_peer_timer;
};

AllowanceExchange::AllowanceExchange(SocketPoller& poller,
                                     std::string own_incarnation,
                                     AllowanceManager& allowance_manager,
                                     const FleetTopicClient& fleet,
                                     DecisionLog& log,
                                     Callbacks callbacks)
    : poller(poller),
      own_incarnation(std::move(own_incarnation)),
      allowance_manager(allowance_manager),
      fleet(fleet),
      log(log),
      callbacks(std::move(callbacks)) {}

AllowanceExchange::~AllowanceExchange() = default;

auto AllowanceExchange::RequestTokens(const std::string& team) -> void {
  std::unique_ptr<Round>& round = this->rounds[team];
  if (round &&
      (round->pending_replies > 0 || round->next_peer_timer->running())) {
    return;
  }
  round = std::make_unique<Round>();
  round->team = team;
  round->peers = this->SelectPeers(team);
  round->next_peer_timer = std::make_unique<LoopTimer>(
      this->poller.loop(),
      [this, started = round.get()] { this->RequestFromNextPeer(*started); });
  this->RequestFromNextPeer(*round);
}

auto AllowanceExchange::OnPeerRequest(Http1ServerSession& session,
                                      const Http1Request& request) -> void {
  wire::AllowanceAsk allowance_request;
  if (request.target != kPath ||
      !allowance_request.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  const Instant now = this->poller.loop().Now();
  wire::AllowanceGift transfer;
  transfer.set_team(allowance_request.team());
  transfer.set_tokens(this->allowance_manager.TransferOut(
      allowance_request.team(), allowance_request.tokens(), now));
  this->log.WriteLine(DecisionLog::Severity::kRoutine, "allowance_given",
                      {{"team", allowance_request.team()},
                       {"asker", allowance_request.asker()},
                       {"asked", allowance_request.tokens()},
                       {"given", transfer.tokens()},
                       {"available", this->allowance_manager.Available(
                                         allowance_request.team())}},
                      now);
  SendPeerReply(session, PeerStatus::kOk, transfer.SerializeAsString());
}

//==============================================================================

auto AllowanceExchange::SelectPeers(const std::string& team) const
    -> std::vector<Peer> {
  const Instant now = this->poller.loop().Now();
  std::vector<Peer> peers;
  this->fleet.ledger().VisitTeam(team, [&](const AllowanceEntry& entry) {
    const auto skipped = this->skipped_since.find(SkipKey(team, entry.holder));
    if (entry.holder == this->own_incarnation ||
        entry.taken_tokens <= entry.settled_tokens ||
        (skipped != this->skipped_since.end() &&
         now - skipped->second < kSkipDuration)) {
      return;
    }
    if (const RouterAnnouncement* const router =
            this->fleet.registry().FindActive(entry.holder,
                                              this->fleet.last_read_at())) {
      peers.push_back({entry.holder, router->peer_address,
                       entry.taken_tokens - entry.settled_tokens});
    }
  });
  // Peers with the most unspent tokens come first. Among peers within a factor
  // of two, each router has its own order, which spreads the requests.
  std::sort(peers.begin(), peers.end(),
            [this](const Peer& left, const Peer& right) {
              if (left.unspent / 2 > right.unspent ||
                  right.unspent / 2 > left.unspent) {
                return left.unspent > right.unspent;
              }
              return StableHash(this->own_incarnation, left.incarnation) >
                     StableHash(this->own_incarnation, right.incarnation);
            });
  peers.resize(std::min<std::size_t>(peers.size(), kMaxPeersPerRound));
  return peers;
}

auto AllowanceExchange::RequestFromNextPeer(Round& round) -> void {
  const std::uint64_t tokens =
      this->allowance_manager.Shortage(round.team, this->poller.loop().Now());
  if (tokens == 0) {
    return;
  }
  while (!round.peers.empty()) {
    const Peer peer = round.peers.front();
    round.peers.erase(round.peers.begin());
    if (this->RequestFrom(peer, round, tokens)) {
      round.next_peer_timer->Start(kNextPeerDelay);
      return;
    }
  }
  if (round.pending_replies == 0) {
    this->callbacks.on_peers_exhausted(round.team);
  }
}

auto AllowanceExchange::RequestFrom(const Peer& peer,
                                    Round& round,
                                    std::uint64_t tokens) -> bool {
  Http1Client* const connection = this->FindIdleConnection(peer);
  if (connection == nullptr) {
    return false;
  }
  wire::AllowanceAsk allowance_request;
  allowance_request.set_team(round.team);
  allowance_request.set_tokens(tokens);
  allowance_request.set_asker(this->own_incarnation);
  ++round.pending_replies;
  connection->Call(
      MakePeerRequest(kPath, allowance_request.SerializeAsString()),
      kReplyTimeout,
      [this, peer, team = round.team,
       tokens](const std::optional<Http1Client::Reply>& reply) {
        this->OnTransfer(peer, team, tokens, reply);
      });
  return true;
}

auto AllowanceExchange::OnTransfer(
    const Peer& peer,
    const std::string& team,
    std::uint64_t requested_tokens,
    const std::optional<Http1Client::Reply>& reply) -> void {
  const Instant now = this->poller.loop().Now();
  Round& round = *this->rounds[team];
  wire::AllowanceGift transfer;
  const bool is_valid_reply = reply && reply->status == kOk &&
                              transfer.ParseFromString(reply->body) &&
                              transfer.team() == team;
  if (!is_valid_reply || transfer.tokens() < requested_tokens) {
    std::erase_if(this->skipped_since, [now](const auto& item) {
      return now - item.second >= kSkipDuration;
    });
    this->skipped_since[SkipKey(team, peer.incarnation)] = now;
  }
  this->log.WriteLine(
      is_valid_reply ? DecisionLog::Severity::kRoutine
                     : DecisionLog::Severity::kNotable,
      is_valid_reply ? "allowance_received" : "allowance_ask_failed",
      {{"team", team},
       {"peer", peer.incarnation},
       {"asked", requested_tokens},
       {"tokens", transfer.tokens()},
       {"seemed", peer.unspent}},
      now);
  round.next_peer_timer->Stop();
  if (is_valid_reply && transfer.tokens() > 0) {
    this->allowance_manager.ReceiveTransfer(team, transfer.tokens());
    this->callbacks.on_tokens_received(
        team);  // May call RequestTokens(): the round is open.
  }
  --round.pending_replies;
  this->RequestFromNextPeer(round);
}

auto AllowanceExchange::FindIdleConnection(const Peer& peer) -> Http1Client* {
  auto& kept = this->connections[peer.address];
  for (const auto& connection : kept) {
    if (!connection->is_busy()) {
      return connection.get();
    }
  }
  if (kept.size() >= kMaxConnectionsPerPeer || peer.address.empty()) {
    return nullptr;
  }
  kept.push_back(std::make_unique<Http1Client>(this->poller, peer.address));
  return kept.back().get();
}

}  // namespace auburnloft::gateway

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
constexpr std::string_view kHandoverPath = "/allowance-handover";

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
  bool has_asked = false;   ///< Whether a router was asked.
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

auto AllowanceExchange::ReturnSurplus() -> void {
  this->HandOver(this->allowance_manager.TakeSurplus(
                     [this](std::string_view team) {
                       return this->fleet.IsReserveHolder(team);
                     },
                     this->poller.loop().Now()),
                 [] {});
}

auto AllowanceExchange::HandOverAll(const std::function<void()>& on_done)
    -> void {
  this->accepts_handovers = false;
  this->HandOver(this->allowance_manager.TakeUncommitted(), on_done);
}

auto AllowanceExchange::OnPeerRequest(Http1ServerSession& session,
                                      const Http1Request& request) -> void {
  if (request.target == kHandoverPath) {
    this->OnHandover(session, request);
  } else {
    this->OnTransferRequest(session, request);
  }
}

//==============================================================================
// Tokens handed over by a router that does not need them

auto AllowanceExchange::OnHandover(Http1ServerSession& session,
                                   const Http1Request& request) -> void {
  wire::AllowanceHandover handover;
  if (!handover.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  if (!this->accepts_handovers) {
    SendPeerReply(session, PeerStatus::kUnavailable, {});
    return;
  }
  SendPeerReply(session, PeerStatus::kOk, {});
  for (const wire::AllowanceGift& gift : handover.gifts()) {
    this->allowance_manager.ReceiveTransfer(gift.team(), gift.tokens());
    this->log.WriteLine(
        DecisionLog::Severity::kRoutine, "allowance_returned",
        {{"team", gift.team()},
         {"sender", handover.sender()},
         {"tokens", gift.tokens()},
         {"available", this->allowance_manager.Available(gift.team())}},
        this->poller.loop().Now());
    this->callbacks.on_tokens_received(gift.team());
  }
}

auto AllowanceExchange::HandOver(const std::vector<TeamTokens>& amounts,
                                 const std::function<void()>& on_done) -> void {
  std::map<std::string, std::vector<TeamTokens>> by_address;
  for (const TeamTokens& amount : amounts) {
    const RouterAnnouncement* const receiver = this->ReceiverFor(amount.team);
    if (receiver != nullptr) {
      by_address[receiver->peer_address].push_back(amount);
    } else {
      this->allowance_manager.ReceiveTransfer(amount.team, amount.tokens);
    }
  }
  const auto pending_calls = std::make_shared<int>(1);
  const auto end_call = [pending_calls, on_done] {
    if (--*pending_calls == 0) {
      on_done();
    }
  };
  for (const auto& [address, sent] : by_address) {
    Http1Client* const connection = this->FindIdleConnection(address);
    if (connection == nullptr) {
      for (const TeamTokens& amount : sent) {  // Sent with the next surplus.
        this->allowance_manager.ReceiveTransfer(amount.team, amount.tokens);
      }
      continue;
    }
    wire::AllowanceHandover handover;
    handover.set_sender(this->own_incarnation);
    for (const TeamTokens& amount : sent) {
      wire::AllowanceGift& gift = *handover.add_gifts();
      gift.set_team(amount.team);
      gift.set_tokens(amount.tokens);
    }
    ++*pending_calls;
    connection->Call(
        MakePeerRequest(kHandoverPath, handover.SerializeAsString()),
        kReplyTimeout,
        [this, address = address, sent = sent,
         end_call](const std::optional<Http1Client::Reply>& reply) {
          this->OnHandoverReply(address, sent, reply);
          end_call();
        });
  }
  end_call();
}

auto AllowanceExchange::OnHandoverReply(
    const std::string& address,
    const std::vector<TeamTokens>& amounts,
    const std::optional<Http1Client::Reply>& reply) -> void {
  if (reply && reply->status == kOk) {
    return;
  }
  // Without a reply the receiver may have the tokens, so they stay counted as
  // spent. A reply with another status states that it did not take them.
  for (const TeamTokens& amount : amounts) {
    if (reply) {
      this->allowance_manager.ReceiveTransfer(amount.team, amount.tokens);
    }
    this->log.WriteLine(DecisionLog::Severity::kNotable,
                        "allowance_return_failed",
                        {{"team", amount.team},
                         {"peer", address},
                         {"tokens", amount.tokens},
                         {"stranded", reply ? 0 : 1}},
                        this->poller.loop().Now());
  }
}

auto AllowanceExchange::ReceiverFor(const std::string& team) const
    -> const RouterAnnouncement* {
  const Instant read_at = this->fleet.last_read_at();
  const auto sender = this->last_sender.find(team);
  if (sender != this->last_sender.end()) {
    const RouterAnnouncement* const router =
        this->fleet.registry().FindActive(sender->second, read_at);
    if (router != nullptr && !router->leaving) {
      return router;
    }
  }
  return this->fleet.registry().FindHighestRanked(team, read_at);
}

//==============================================================================
// Tokens requested by a router that needs them

auto AllowanceExchange::OnTransferRequest(Http1ServerSession& session,
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
      allowance_request.team(), allowance_request.tokens(),
      !allowance_request.repeated(), now));
  this->log.WriteLine(DecisionLog::Severity::kRoutine, "allowance_given",
                      {{"team", allowance_request.team()},
                       {"asker", allowance_request.asker()},
                       {"asked", allowance_request.tokens()},
                       {"given", transfer.tokens()},
                       {"available", this->allowance_manager.Available(
                                         allowance_request.team())}},
                      now);
  SendPeerReply(session, PeerStatus::kOk, transfer.SerializeAsString());
  if (transfer.tokens() < allowance_request.tokens()) {
    this->callbacks.on_partial_transfer();
  }
}

//==============================================================================

auto AllowanceExchange::SelectPeers(const std::string& team) const
    -> std::vector<Peer> {
  const Instant now = this->poller.loop().Now();
  std::vector<Peer> peers;
  this->fleet.ledger().VisitTeam(team, [&](const AllowanceEntry& entry) {
    const auto skipped = this->skipped_since.find(SkipKey(team, entry.holder));
    if (entry.holder == this->own_incarnation || entry.unspent_tokens() == 0 ||
        (skipped != this->skipped_since.end() &&
         now - skipped->second < kSkipDuration)) {
      return;
    }
    if (const RouterAnnouncement* const router =
            this->fleet.registry().FindActive(entry.holder,
                                              this->fleet.last_read_at())) {
      peers.push_back(
          {entry.holder, router->peer_address, entry.unspent_tokens()});
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
  Http1Client* const connection = this->FindIdleConnection(peer.address);
  if (connection == nullptr) {
    return false;
  }
  wire::AllowanceAsk allowance_request;
  allowance_request.set_team(round.team);
  allowance_request.set_tokens(tokens);
  allowance_request.set_asker(this->own_incarnation);
  allowance_request.set_repeated(
      std::exchange(round.has_asked, true) ||
      this->allowance_manager.ReportsDemand(round.team));
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
    this->last_sender[team] = peer.incarnation;
    this->allowance_manager.ReceiveTransfer(team, transfer.tokens());
    this->callbacks.on_tokens_received(
        team);  // May call RequestTokens(): the round is open.
  }
  --round.pending_replies;
  this->RequestFromNextPeer(round);
}

auto AllowanceExchange::FindIdleConnection(const std::string& address)
    -> Http1Client* {
  auto& kept = this->connections[address];
  for (const auto& connection : kept) {
    if (!connection->is_busy()) {
      return connection.get();
    }
  }
  if (kept.size() >= kMaxConnectionsPerPeer || address.empty()) {
    return nullptr;
  }
  kept.push_back(std::make_unique<Http1Client>(this->poller, address));
  return kept.back().get();
}

}  // namespace auburnloft::gateway

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

/** After this time without a reply, a router is not asked again for a while. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

/** How long a reply is waited for, so that its tokens are not lost: a cut of 8
   s and the repetition of lost packets after it. */
constexpr Duration kLateReplyTimeout = std::chrono::milliseconds(16'000);

/** Weight of the newest reply in the running mean of reply times. */
constexpr int kReplyTimeDivisor = 4;

/** Maximum number of routers asked in one round. */
constexpr int kMaxPeersPerRound = 8;

/** How long a router is skipped after it transferred less than was requested,
   or did not reply. */
constexpr Duration kSkipDuration = std::chrono::milliseconds(1'000);

/** Maximum connections to one router with calls that are not overdue, for
   requests for several teams at once. */
constexpr std::ptrdiff_t kMaxConnectionsPerPeer = 2;

/** Maximum connections to one router. Those with overdue calls are kept for
   their replies; a router that does not reply is called once a second, through
   a cut of 8 s. */
constexpr std::size_t kMaxOpenConnections = 10;

auto SkipKey(const std::string& team, const std::string& peer) -> std::string {
  return team + "/" + peer;
}

}  // namespace

struct AllowanceExchange::Round {
  std::string team;
  TransferRound decision;
  std::unique_ptr<LoopTimer> late_timer;  ///< For the next late reply.
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
  if (!round) {
    round = std::make_unique<Round>();
    round->team = team;
    round->late_timer = std::make_unique<LoopTimer>(
        this->poller.loop(),
        [this, started = round.get()] { this->Continue(*started); });
  }
  if (round->decision.expected_tokens() == 0) {
    round->decision.SetPeers(this->SelectPeers(team));
  }
  this->Continue(*round);
}

auto AllowanceExchange::ReturnSurplus() -> void {
  this->HandOver(this->allowance_manager.TakeSurplus(
                     [this](std::string_view team) {
                       return this->fleet.IsReserveHolder(team);
                     },
                     this->poller.loop().Now()),
                 kLateReplyTimeout, [] {});
}

auto AllowanceExchange::HandOverAll(const std::function<void()>& on_done)
    -> void {
  this->accepts_handovers = false;
  this->HandOver(this->allowance_manager.TakeUncommitted(), kReplyTimeout,
                 on_done);
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
                                 Duration timeout,
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
    // What is sent to a router that does not reply may be lost.
    PeerConnection* const connection =
        this->IsUnresponsive(this->links[address])
            ? nullptr
            : this->FindIdleConnection(address);
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
    connection->client->Call(
        MakePeerRequest(kHandoverPath, handover.SerializeAsString()), timeout,
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
  if (reply) {
    this->links[address].replied_at = this->poller.loop().Now();
  }
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
  if (allowance_request.has_demand_tokens()) {
    this->allowance_manager.RecordRequestedDemand(
        allowance_request.team(), allowance_request.demand_tokens(),
        allowance_request.gets_ahead(), now);
  }
  wire::AllowanceGift transfer;
  transfer.set_team(allowance_request.team());
  transfer.set_tokens(this->allowance_manager.TransferOut(
      allowance_request.team(), allowance_request.tokens(),
      !allowance_request.has_demand_tokens() && !allowance_request.repeated(),
      now));
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
    -> std::vector<TransferRound::Peer> {
  using Peer = TransferRound::Peer;
  const Instant now = this->poller.loop().Now();
  const auto round = this->rounds.find(team);
  std::vector<Peer> peers;
  this->fleet.ledger().VisitTeam(team, [&](const AllowanceEntry& entry) {
    const auto skipped = this->skipped_since.find(SkipKey(team, entry.holder));
    if (entry.holder == this->own_incarnation || entry.unspent_tokens() == 0 ||
        (round != this->rounds.end() && round->second &&
         round->second->decision.IsPending(entry.holder,
                                           now - kSkipDuration)) ||
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

auto AllowanceExchange::Continue(Round& round) -> void {
  const Instant now = this->poller.loop().Now();
  const std::uint64_t needed =
      this->allowance_manager.Shortage(round.team, now);
  bool has_failed = false;
  do {
    has_failed = false;
    for (const TransferRound::Ask& ask :
         round.decision.Plan(needed, this->usual_reply_time, now)) {
      if (!this->Send(ask, round)) {
        round.decision.OnEnd(ask.number, now);
        has_failed = true;
      }
    }
  } while (has_failed);
  if (const auto check_at = round.decision.NextCheckAt()) {
    round.late_timer->Start(
        std::max(Duration(std::chrono::milliseconds(1)), *check_at - now));
  } else {
    round.late_timer->Stop();
  }
  if (needed > round.decision.expected_tokens() &&
      !round.decision.has_peers()) {
    this->callbacks.on_peers_exhausted(round.team);
  }
}

auto AllowanceExchange::Send(const TransferRound::Ask& ask, Round& round)
    -> bool {
  PeerConnection* const connection = this->FindIdleConnection(ask.peer.address);
  if (connection == nullptr) {
    return false;
  }
  const std::uint64_t demand =
      this->allowance_manager.TakeUnreportedDemand(round.team);
  wire::AllowanceAsk allowance_request;
  allowance_request.set_team(round.team);
  allowance_request.set_tokens(ask.tokens);
  allowance_request.set_asker(this->own_incarnation);
  allowance_request.set_repeated(demand == 0);  // For older routers.
  allowance_request.set_demand_tokens(demand);
  allowance_request.set_gets_ahead(
      this->allowance_manager.GetsAhead(round.team, this->poller.loop().Now()));
  connection->client->Call(
      MakePeerRequest(kPath, allowance_request.SerializeAsString()),
      kLateReplyTimeout,
      [this, ask,
       team = round.team](const std::optional<Http1Client::Reply>& reply) {
        this->OnTransfer(ask, team, reply);
      });
  return true;
}

auto AllowanceExchange::OnTransfer(
    const TransferRound::Ask& ask,
    const std::string& team,
    const std::optional<Http1Client::Reply>& reply) -> void {
  const Instant now = this->poller.loop().Now();
  Round& round = *this->rounds[team];
  const Duration taken =
      round.decision.OnEnd(ask.number, now).value_or(Duration(0));
  wire::AllowanceGift transfer;
  const bool is_valid_reply = reply && reply->status == kOk &&
                              transfer.ParseFromString(reply->body) &&
                              transfer.team() == team;
  if (reply) {
    this->links[ask.peer.address].replied_at = now;
  }
  if (is_valid_reply) {
    this->usual_reply_time +=
        (std::min(taken, kReplyTimeout) - this->usual_reply_time) /
        kReplyTimeDivisor;
  }
  if (!is_valid_reply || transfer.tokens() < ask.tokens ||
      taken >= kReplyTimeout) {
    this->Skip(team, ask.peer.incarnation);
  }
  this->log.WriteLine(
      is_valid_reply ? DecisionLog::Severity::kRoutine
                     : DecisionLog::Severity::kNotable,
      is_valid_reply ? "allowance_received" : "allowance_ask_failed",
      {{"team", team},
       {"peer", ask.peer.incarnation},
       {"asked", ask.tokens},
       {"tokens", transfer.tokens()},
       {"seemed", ask.peer.unspent},
       {"after_ms", taken}},
      now);
  if (is_valid_reply && transfer.tokens() > 0) {
    this->last_sender[team] = ask.peer.incarnation;
    this->allowance_manager.ReceiveTransfer(team, transfer.tokens());
    this->callbacks.on_tokens_received(team);  // May call RequestTokens().
  }
  this->Continue(round);
}

auto AllowanceExchange::Skip(const std::string& team,
                             const std::string& incarnation) -> void {
  const Instant now = this->poller.loop().Now();
  std::erase_if(this->skipped_since, [now](const auto& item) {
    return now - item.second >= kSkipDuration;
  });
  this->skipped_since[SkipKey(team, incarnation)] = now;
}

auto AllowanceExchange::FindIdleConnection(const std::string& address)
    -> PeerConnection* {
  PeerLink& link = this->links[address];
  const Instant now = this->poller.loop().Now();
  if (address.empty() ||
      (this->IsUnresponsive(link) && now - link.called_at < kSkipDuration)) {
    return nullptr;
  }
  const auto idle =
      std::find_if(link.connections.begin(), link.connections.end(),
                   [](const PeerConnection& connection) {
                     return !connection.client->is_busy();
                   });
  if (idle != link.connections.end()) {
    link.called_at = now;
    idle->called_at = now;
    return &*idle;
  }
  const auto in_time =
      std::count_if(link.connections.begin(), link.connections.end(),
                    [now](const PeerConnection& connection) {
                      return now - connection.called_at < kReplyTimeout;
                    });
  if (in_time >= kMaxConnectionsPerPeer ||
      link.connections.size() >= kMaxOpenConnections) {
    return nullptr;
  }
  link.called_at = now;
  link.connections.push_back(
      {std::make_unique<Http1Client>(this->poller, address), now});
  return &link.connections.back();
}

auto AllowanceExchange::IsUnresponsive(const PeerLink& link) const -> bool {
  const Instant now = this->poller.loop().Now();
  return std::any_of(link.connections.begin(), link.connections.end(),
                     [&](const PeerConnection& connection) {
                       return connection.client->is_busy() &&
                              now - connection.called_at >= kReplyTimeout &&
                              link.replied_at <= connection.called_at;
                     });
}

}  // namespace auburnloft::gateway

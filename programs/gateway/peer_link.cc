#include "gateway/peer_link.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "fleet.pb.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::string_view kAskPath = "/allowance";

/** How long another router may take to answer: some round trips between failure
   domains, and a lost packet. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(250);

/** Routers asked at once. */
constexpr std::size_t kMostAsked = 3;

/** Connections kept to one router: asks for several teams at once. */
constexpr std::size_t kMostCallers = 2;

}  // namespace

PeerLink::PeerLink(SocketPoller& poller,
                   std::string own_incarnation,
                   AllowanceDesk& desk,
                   const FleetLink& fleet,
                   DecisionLog& log,
                   OnReceived on_received)
    : poller(poller),
      self(std::move(own_incarnation)),
      desk(desk),
      fleet(fleet),
      log(log),
      received(std::move(on_received)) {}

PeerLink::~PeerLink() = default;

auto PeerLink::AskFor(const std::string& team) -> void {
  if (this->asks_open[team] > 0) {
    return;
  }
  const std::uint64_t tokens =
      this->desk.Shortage(team, this->poller.loop().Now());
  if (tokens == 0) {
    return;
  }
  for (const Peer& peer : this->RichestPeers(team)) {
    this->Ask(peer, team, tokens);
  }
}

auto PeerLink::OnAsk(Http1ServerSession& session, const Http1Request& request)
    -> void {
  wire::AllowanceAsk ask;
  Http1ResponseHead head;
  if (request.target != kAskPath || !ask.ParseFromString(request.body)) {
    head.status = kBadRequest;
    head.reason = "Bad Request";
    session.Answer(head, {});
    return;
  }
  wire::AllowanceGift gift;
  gift.set_team(ask.team());
  gift.set_tokens(this->desk.Give(ask.team(), ask.tokens()));
  this->log.Line(DecisionLog::Weight::kRoutine, "allowance_given",
                 {{"team", ask.team()},
                  {"asker", ask.asker()},
                  {"asked", ask.tokens()},
                  {"given", gift.tokens()}},
                 this->poller.loop().Now());
  head.status = kOk;
  head.reason = "OK";
  session.Answer(head, gift.SerializeAsString());
}

//==============================================================================

auto PeerLink::RichestPeers(const std::string& team) const
    -> std::vector<Peer> {
  std::vector<Peer> peers;
  this->fleet.ledger().VisitAll([&](const AllowanceEntry& entry) {
    if (entry.team != team || entry.holder == this->self ||
        entry.taken_tokens <= entry.settled_tokens) {
      return;
    }
    if (const RouterAnnouncement* const router =
            this->fleet.registry().FindLiving(entry.holder,
                                              this->fleet.as_of())) {
      peers.push_back({entry.holder, router->peer_address,
                       entry.taken_tokens - entry.settled_tokens});
    }
  });
  std::sort(peers.begin(), peers.end(),
            [](const Peer& left, const Peer& right) {
              return left.unspent > right.unspent;
            });
  peers.resize(std::min(peers.size(), kMostAsked));
  return peers;
}

auto PeerLink::Ask(const Peer& peer,
                   const std::string& team,
                   std::uint64_t tokens) -> void {
  Http1Caller* const caller = this->CallerTo(peer);
  if (caller == nullptr) {
    return;
  }
  wire::AllowanceAsk ask;
  ask.set_team(team);
  ask.set_tokens(tokens);
  ask.set_asker(this->self);
  Http1Request request;
  request.method = "POST";
  request.target = std::string(kAskPath);
  request.fields.Add("Host", "peer");
  request.body = ask.SerializeAsString();
  ++this->asks_open[team];
  caller->Call(request, kAnswerLimit,
               [this, team, name = peer.incarnation](
                   const std::optional<Http1Caller::Reply>& reply) {
                 this->OnGift(name, team, reply);
               });
}

auto PeerLink::OnGift(const std::string& peer,
                      const std::string& team,
                      const std::optional<Http1Caller::Reply>& reply) -> void {
  --this->asks_open[team];
  wire::AllowanceGift gift;
  if (!reply || reply->status != kOk || !gift.ParseFromString(reply->body) ||
      gift.team() != team) {
    this->log.Line(DecisionLog::Weight::kNotable, "allowance_ask_failed",
                   {{"team", team}, {"peer", peer}}, this->poller.loop().Now());
    return;
  }
  if (gift.tokens() > 0) {
    this->desk.Receive(team, gift.tokens());
    this->log.Line(DecisionLog::Weight::kRoutine, "allowance_received",
                   {{"team", team}, {"peer", peer}, {"tokens", gift.tokens()}},
                   this->poller.loop().Now());
    this->received(team);
  }
}

auto PeerLink::CallerTo(const Peer& peer) -> Http1Caller* {
  auto& kept = this->callers[peer.address];
  for (const auto& caller : kept) {
    if (!caller->busy()) {
      return caller.get();
    }
  }
  if (kept.size() >= kMostCallers || peer.address.empty()) {
    return nullptr;
  }
  kept.push_back(std::make_unique<Http1Caller>(this->poller, peer.address));
  return kept.back().get();
}

}  // namespace auburnloft::gateway

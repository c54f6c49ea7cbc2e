#include "gateway/peer_link.h"

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
constexpr std::string_view kAskPath = "/allowance";

/** How long another router's answer is waited for. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(250);

/** After this long without an answer the next router is asked as well: some
   round trips between failure domains. */
constexpr Duration kNextAfter = std::chrono::milliseconds(15);

/** Routers asked in one round. */
constexpr int kMostAsked = 8;

/** How long a router is passed over that gave less than it was asked for. */
constexpr Duration kDrainedFor = std::chrono::milliseconds(1'000);

/** Connections kept to one router: asks for several teams at once. */
constexpr std::size_t kMostCallers = 2;

auto DrainedKey(const std::string& team, const std::string& peer)
    -> std::string {
  return team + "/" + peer;
}

}  // namespace

/** Asks for one team, from one router to the next. */
struct PeerLink::Round {
  std::string team;
  std::vector<Peer> peers;  ///< Not asked yet, in their order.
  int open = 0;             ///< Asked and not answered.
  std::unique_ptr<LoopTimer> next;
};

PeerLink::PeerLink(SocketPoller& poller,
                   std::string own_incarnation,
                   AllowanceManager& desk,
                   const FleetLink& fleet,
                   DecisionLog& log,
                   Callbacks callbacks)
    : poller(poller),
      self(std::move(own_incarnation)),
      desk(desk),
      fleet(fleet),
      log(log),
      calls(std::move(callbacks)) {}

PeerLink::~PeerLink() = default;

auto PeerLink::AskFor(const std::string& team) -> void {
  std::unique_ptr<Round>& round = this->rounds[team];
  if (round && (round->open > 0 || round->next->running())) {
    return;
  }
  round = std::make_unique<Round>();
  round->team = team;
  round->peers = this->PeersWith(team);
  round->next = std::make_unique<LoopTimer>(
      this->poller.loop(),
      [this, started = round.get()] { this->AskNext(*started); });
  this->AskNext(*round);
}

auto PeerLink::OnAsk(Http1ServerSession& session, const Http1Request& request)
    -> void {
  wire::AllowanceAsk ask;
  if (request.target != kAskPath || !ask.ParseFromString(request.body)) {
    AnswerPeer(session, PeerStatus::kBadRequest, {});
    return;
  }
  const Instant now = this->poller.loop().Now();
  wire::AllowanceGift gift;
  gift.set_team(ask.team());
  gift.set_tokens(this->desk.TransferOut(ask.team(), ask.tokens(), now));
  this->log.Line(DecisionLog::Weight::kRoutine, "allowance_given",
                 {{"team", ask.team()},
                  {"asker", ask.asker()},
                  {"asked", ask.tokens()},
                  {"given", gift.tokens()},
                  {"available", this->desk.Available(ask.team())}},
                 now);
  AnswerPeer(session, PeerStatus::kOk, gift.SerializeAsString());
}

//==============================================================================

auto PeerLink::PeersWith(const std::string& team) const -> std::vector<Peer> {
  const Instant now = this->poller.loop().Now();
  std::vector<Peer> peers;
  this->fleet.ledger().VisitTeam(team, [&](const AllowanceEntry& entry) {
    const auto passed = this->drained.find(DrainedKey(team, entry.holder));
    if (entry.holder == this->self ||
        entry.taken_tokens <= entry.settled_tokens ||
        (passed != this->drained.end() && now - passed->second < kDrainedFor)) {
      return;
    }
    if (const RouterAnnouncement* const router =
            this->fleet.registry().FindActive(entry.holder,
                                              this->fleet.as_of())) {
      peers.push_back({entry.holder, router->peer_address,
                       entry.taken_tokens - entry.settled_tokens});
    }
  });
  // The rich first; among equals each router begins with another one.
  std::sort(peers.begin(), peers.end(),
            [this](const Peer& left, const Peer& right) {
              if (left.unspent / 2 > right.unspent ||
                  right.unspent / 2 > left.unspent) {
                return left.unspent > right.unspent;
              }
              return StableHash(this->self, left.incarnation) >
                     StableHash(this->self, right.incarnation);
            });
  peers.resize(std::min<std::size_t>(peers.size(), kMostAsked));
  return peers;
}

auto PeerLink::AskNext(Round& round) -> void {
  const std::uint64_t tokens =
      this->desk.Shortage(round.team, this->poller.loop().Now());
  if (tokens == 0) {
    return;
  }
  while (!round.peers.empty()) {
    const Peer peer = round.peers.front();
    round.peers.erase(round.peers.begin());
    if (this->Ask(peer, round, tokens)) {
      round.next->Start(kNextAfter);
      return;
    }
  }
  if (round.open == 0) {
    this->calls.on_exhausted(round.team);
  }
}

auto PeerLink::Ask(const Peer& peer, Round& round, std::uint64_t tokens)
    -> bool {
  Http1Caller* const caller = this->CallerTo(peer);
  if (caller == nullptr) {
    return false;
  }
  wire::AllowanceAsk ask;
  ask.set_team(round.team);
  ask.set_tokens(tokens);
  ask.set_asker(this->self);
  ++round.open;
  caller->Call(MakePeerCall(kAskPath, ask.SerializeAsString()), kAnswerLimit,
               [this, peer, team = round.team,
                tokens](const std::optional<Http1Caller::Reply>& reply) {
                 this->OnGift(peer, team, tokens, reply);
               });
  return true;
}

auto PeerLink::OnGift(const Peer& peer,
                      const std::string& team,
                      std::uint64_t asked,
                      const std::optional<Http1Caller::Reply>& reply) -> void {
  const Instant now = this->poller.loop().Now();
  Round& round = *this->rounds[team];
  wire::AllowanceGift gift;
  const bool answered = reply && reply->status == kOk &&
                        gift.ParseFromString(reply->body) &&
                        gift.team() == team;
  if (!answered || gift.tokens() < asked) {
    std::erase_if(this->drained, [now](const auto& item) {
      return now - item.second >= kDrainedFor;
    });
    this->drained[DrainedKey(team, peer.incarnation)] = now;
  }
  this->log.Line(
      answered ? DecisionLog::Weight::kRoutine : DecisionLog::Weight::kNotable,
      answered ? "allowance_received" : "allowance_ask_failed",
      {{"team", team},
       {"peer", peer.incarnation},
       {"asked", asked},
       {"tokens", gift.tokens()},
       {"seemed", peer.unspent}},
      now);
  round.next->Stop();
  if (answered && gift.tokens() > 0) {
    this->desk.ReceiveTransfer(team, gift.tokens());
    this->calls.on_received(team);  // May ask again: the round is still open.
  }
  --round.open;
  this->AskNext(round);
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

#include "gateway/increase_notifier.h"

#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "fleet.pb.h"
#include "gateway/fleet_records.h"
#include "gateway/peer_message.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);

/** Delay during which increases are collected into one message: all entries of
   one read of the log arrive in it. */
constexpr Duration kCollectDelay = std::chrono::milliseconds(1);

/** Timeout of a reply. Below the time in which the others read the log anyway.
 */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

/** Maximum number of other routers that get messages. */
constexpr std::size_t kMaxPeers = 12;

}  // namespace

IncreaseNotifier::IncreaseNotifier(
    SocketPoller& poller,
    std::string own_incarnation,
    const LogEra& era,
    FleetTopicClient& fleet,
    AllowanceManager& allowance_manager,
    DecisionLog& log,
    std::function<void(const std::string& team)> on_spendable)
    : poller(poller),
      own_incarnation(std::move(own_incarnation)),
      era(era),
      fleet(fleet),
      allowance_manager(allowance_manager),
      log(log),
      on_spendable(std::move(on_spendable)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->SendAll(); })) {}

IncreaseNotifier::~IncreaseNotifier() = default;

auto IncreaseNotifier::Send(const AllowanceEntry& entry) -> void {
  this->waiting.push_back(entry);
  if (this->pending_replies == 0 && !this->timer->running()) {
    this->timer->Start(kCollectDelay);
  }
}

auto IncreaseNotifier::OnPeerRequest(Http1ServerSession& session,
                                     const Http1Request& request) -> void {
  wire::AllowanceIncreases message;
  if (!message.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  if (message.log_era() != this->era.number()) {
    // One of the two has not noticed yet that the log was restored.
    SendPeerReply(session, PeerStatus::kUnavailable, {});
    return;
  }
  for (const wire::AllowanceRecord& record : message.entries()) {
    this->fleet.LearnEntry(FromMessage(record));
  }
  SendPeerReply(session, PeerStatus::kOk, {});
}

//==============================================================================

auto IncreaseNotifier::SendAll() -> void {
  this->sent = std::exchange(this->waiting, {});
  const std::set<std::string> peers = this->PeerAddresses();
  std::erase_if(this->connections, [&peers](const auto& item) {
    return !peers.contains(item.first);
  });
  if (peers.empty() || peers.size() > kMaxPeers) {
    return;
  }
  wire::AllowanceIncreases message;
  message.set_log_era(this->era.number());
  for (const AllowanceEntry& entry : this->sent) {
    *message.add_entries() = ToMessage(entry);
  }
  const Http1Request request =
      MakePeerRequest(kPath, message.SerializeAsString());
  this->pending_replies = peers.size();
  this->all_confirmed = true;
  for (const std::string& address : peers) {
    std::unique_ptr<Http1Client>& connection = this->connections[address];
    if (!connection) {
      connection = std::make_unique<Http1Client>(this->poller, address);
    }
    connection->Call(request, kReplyTimeout,
                     [this](const std::optional<Http1Client::Reply>& reply) {
                       this->OnReply(reply);
                     });
  }
}

auto IncreaseNotifier::PeerAddresses() const -> std::set<std::string> {
  std::set<std::string> addresses;
  this->fleet.registry().VisitAll(
      this->fleet.last_read_at(),
      [&](const RouterAnnouncement& router, bool is_active) {
        // A leaving router is not relied on: it will be gone soon.
        if (is_active && !router.leaving &&
            router.name != RouterNameOf(this->own_incarnation)) {
          addresses.insert(router.peer_address);
        }
      });
  return addresses;
}

auto IncreaseNotifier::OnReply(const std::optional<Http1Client::Reply>& reply)
    -> void {
  this->all_confirmed = this->all_confirmed && reply && reply->status == kOk;
  if (--this->pending_replies == 0) {
    this->EndRound();
  }
}

auto IncreaseNotifier::EndRound() -> void {
  this->log.WriteLine(DecisionLog::Severity::kRoutine,
                      "allowance_increases_sent",
                      {{"entries", this->sent.size()},
                       {"routers", this->connections.size()},
                       {"confirmed", this->all_confirmed ? 1 : 0}},
                      this->poller.loop().Now());
  if (!this->waiting.empty()) {
    this->timer->Start(kCollectDelay);
  }
  if (!this->all_confirmed) {
    return;
  }
  for (const AllowanceEntry& entry : std::exchange(this->sent, {})) {
    this->allowance_manager.OnConfirmed(entry.team, entry.revision);
    this->on_spendable(entry.team);
  }
}

}  // namespace auburnloft::gateway

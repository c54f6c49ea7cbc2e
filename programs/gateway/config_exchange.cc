#include "gateway/config_exchange.h"

#include <utility>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "fleet.pb.h"
#include "gateway/peer_message.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);

/** Timeout of a reply: a few times what a configuration of hundreds of
   kilobytes takes between small VMs. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1'000);

/** Time in which a configuration reaches all routers from the log, or from the
   readers of a large fleet. */
constexpr Duration kDistributionTime = std::chrono::seconds(2);

/** Time after the start in which a newer configuration is requested at once: a
   restored log may have given this router an older one, and no reader serves it
   yet. */
constexpr Duration kStartPeriod = std::chrono::seconds(5);

}  // namespace

ConfigExchange::ConfigExchange(
    SocketPoller& poller,
    std::string own_name,
    const FleetTopicClient& fleet,
    DecisionLog& log,
    std::function<void(const std::string& text)> on_config)
    : poller(poller),
      own_name(std::move(own_name)),
      fleet(fleet),
      log(log),
      on_config(std::move(on_config)),
      started_at(poller.loop().Now()) {}

ConfigExchange::~ConfigExchange() = default;

auto ConfigExchange::SetConfig(std::uint64_t new_version,
                               std::shared_ptr<const std::string> new_text)
    -> void {
  this->version = new_version;
  this->text = std::move(new_text);
  this->behind_since.reset();
  this->asked.clear();
}

auto ConfigExchange::Update() -> void {
  if (this->connection && this->connection->is_busy()) {
    return;
  }
  const Instant now = this->poller.loop().Now();
  const RouterAnnouncement* const peer = this->FindNewer();
  if (peer == nullptr) {
    this->behind_since.reset();
    this->asked.clear();
    this->connection.reset();
    return;
  }
  if (!this->behind_since) {
    this->behind_since = now;
  }
  if (now - this->started_at >= kStartPeriod &&
      now - *this->behind_since < kDistributionTime) {
    return;
  }
  this->Request(*peer);
}

auto ConfigExchange::OnPeerRequest(Http1ServerSession& session,
                                   const Http1Request& request) const -> void {
  wire::ConfigAsk message;
  if (!message.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  if (!this->text || this->version <= message.version()) {
    SendPeerReply(session, PeerStatus::kUnavailable, {});
    return;
  }
  SendPeerReply(session, PeerStatus::kOk, *this->text);
}

//==============================================================================

auto ConfigExchange::FindNewer() const -> const RouterAnnouncement* {
  const RouterAnnouncement* newest = nullptr;
  std::pair<std::uint64_t, std::uint64_t> highest{this->version, ~0ULL};
  this->fleet.registry().VisitAll(
      this->fleet.last_read_at(),
      [&](const RouterAnnouncement& router, bool is_active) {
        // Routers that start together ask different ones.
        const std::pair candidate(router.config_version,
                                  StableHash(this->own_name, router.name));
        if (is_active && candidate > highest &&
            !this->asked.contains(router.name)) {
          newest = &router;
          highest = candidate;
        }
      });
  return newest;
}

auto ConfigExchange::Request(const RouterAnnouncement& peer) -> void {
  this->log.WriteLine(DecisionLog::Severity::kNotable, "config_requested",
                      {{"peer", peer.name},
                       {"version", peer.config_version},
                       {"own_version", this->version}},
                      this->poller.loop().Now());
  this->asked.insert(peer.name);
  wire::ConfigAsk message;
  message.set_version(this->version);
  this->connection =
      std::make_unique<Http1Client>(this->poller, peer.peer_address);
  this->connection->Call(
      MakePeerRequest(kPath, message.SerializeAsString()), kReplyTimeout,
      [this](const std::optional<Http1Client::Reply>& reply) {
        if (reply && reply->status == kOk) {
          this->on_config(reply->body);
        }
      });
}

}  // namespace auburnloft::gateway

#include "gateway/version_history_exchange.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "fleet.pb.h"
#include "gateway/peer_message.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);

/** Several times the longest round trip between failure domains. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

/** Routers that are asked at a time. After a loss of all routers each of them
    asks until it has run for as long as a stream lasts: at two updates a second
    about 800 bytes a second. */
constexpr std::size_t kAskedAtATime = 2;

}  // namespace

VersionHistoryExchange::VersionHistoryExchange(SocketPoller& poller,
                                               PeerClientPool& clients,
                                               const FleetTopicClient& fleet,
                                               VersionHistory& history,
                                               std::function<bool()> is_fresh,
                                               DecisionLog& log)
    : poller(poller),
      clients(clients),
      fleet(fleet),
      history(history),
      is_fresh(std::move(is_fresh)),
      log(log) {}

auto VersionHistoryExchange::Update() -> void {
  if (this->pending > 0 || !this->is_fresh() ||
      this->history.IsComplete(this->poller.loop().Now())) {
    return;
  }
  const std::vector<std::string> sources = this->Sources();
  const std::size_t count = std::min(sources.size(), kAskedAtATime);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& address = sources[this->asked++ % sources.size()];
    ++this->pending;
    this->clients.IdleClient(address).Call(
        MakePeerRequest(kPath, {}), kReplyTimeout,
        [this, address](const std::optional<Http1Client::Reply>& reply) {
          this->OnReply(address, reply);
        });
  }
}

auto VersionHistoryExchange::OnReply(
    const std::string& address,
    const std::optional<Http1Client::Reply>& reply) -> void {
  --this->pending;
  const Instant now = this->poller.loop().Now();
  wire::VersionHistoryAnswer answer;
  if (!reply || reply->status != kOk || !answer.ParseFromString(reply->body) ||
      this->history.IsComplete(now)) {
    return;
  }
  std::vector<VersionHistory::Sighting> sightings;
  for (const wire::VersionSighting& sighting : answer.sightings()) {
    sightings.push_back({sighting.service(), sighting.version(),
                         FromMillis(sighting.age_ms())});
  }
  this->history.Extend(sightings, FromMillis(answer.covered_ms()), now);
  if (this->history.IsComplete(now)) {
    this->log.WriteLine(DecisionLog::Severity::kNotable, "version_history",
                        {{"peer", address},
                         {"covered_ms", this->history.CoveredTime(now)},
                         {"versions", sightings.size()},
                         {"asked", this->asked}},
                        now);
  }
}

auto VersionHistoryExchange::OnPeerRequest(Http1ServerSession& session)
    -> void {
  if (!this->is_fresh()) {
    // What was listed lately is missing.
    SendPeerReply(session, PeerStatus::kUnavailable, {});
    return;
  }
  const Instant now = this->poller.loop().Now();
  this->history.Update(now);
  wire::VersionHistoryAnswer answer;
  answer.set_covered_ms(ToMillis(this->history.CoveredTime(now)));
  for (const VersionHistory::Sighting& seen : this->history.Sightings(now)) {
    wire::VersionSighting& sighting = *answer.add_sightings();
    sighting.set_service(seen.service);
    sighting.set_version(seen.version);
    sighting.set_age_ms(ToMillis(seen.age));
  }
  SendPeerReply(session, PeerStatus::kOk, answer.SerializeAsString());
}

auto VersionHistoryExchange::Sources() const -> std::vector<std::string> {
  struct Source {
    bool stays = false;
    std::uint64_t rank = 0;
    std::string address;
  };
  const std::string& own_name = this->fleet.registry().own_name();
  std::vector<Source> sources;
  this->fleet.registry().VisitAll(
      this->fleet.last_read_at(),
      [&](const RouterAnnouncement& router, bool is_active) {
        if (is_active && router.name != own_name) {
          sources.push_back({!router.leaving, StableHash(own_name, router.name),
                             router.peer_address});
        }
      });
  std::ranges::sort(sources, {}, [](const Source& source) {
    return std::pair(source.stays, source.rank);
  });
  std::vector<std::string> addresses;
  addresses.reserve(sources.size());
  for (Source& source : sources) {
    addresses.push_back(std::move(source.address));
  }
  return addresses;
}

}  // namespace auburnloft::gateway

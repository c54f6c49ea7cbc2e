#include "gateway/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "fleet.pb.h"
#include "gateway/peer_message.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);

/** Timeout of an answer and of news: several times the longest round trip
    between failure domains, and little of a caller's deadline. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);

/** Of one message: about 5 KB. The rest follows when it is confirmed. */
constexpr std::size_t kMaxStreamsPerMessage = 100;

/** An older directory may lack a version that others have listed: upstreams
    renew their records each 1.2 s. */
constexpr Duration kMaxDirectoryAge = std::chrono::seconds(3);

/** If a router of a new fleet gets its first list of upstreams later, others
    may have begun streams at upstreams that are no longer listed: records
    expire 4 s after an upstream has ended. */
constexpr Duration kMaxFirstListTime = std::chrono::seconds(2);

/** More streams are not looked for at a time, but refused if none knows them: a
    caller may take up any number that never was. */
constexpr std::size_t kMaxSearches = 64;

}  // namespace

/** A stream whose version other routers are asked for. */
struct StreamOrigins::Search {
  std::string attempt_id;
  std::string request_id;
  OnAnswer on_answer;                     ///< Empty once called.
  std::set<std::string> listed_versions;  ///< Seen by this router or another.
  bool has_complete_view = false;         ///< Of this router or another.
  bool has_fresh_view = false;            ///< A complete one.
  std::size_t asked = 0;                  ///< Routers.
  std::size_t needed = 0;              ///< Replies that make up for old lists.
  std::size_t pending = 0;             ///< Replies.
  bool is_open = false;                ///< Others are asked.
  std::size_t replies = 0;             ///< Valid ones.
  std::size_t replies_of_staying = 0;  ///< Of those that stay.
  Instant began_at{};
};

StreamOrigins::StreamOrigins(SocketPoller& poller,
                             std::string own_incarnation,
                             const FleetTopicClient& fleet,
                             const UpstreamDirectory& directory,
                             Duration stream_lifetime,
                             std::function<Duration()> directory_age,
                             DecisionLog& log,
                             GatewayMetrics& metrics)
    : poller(poller),
      own_incarnation(std::move(own_incarnation)),
      fleet(fleet),
      directory_age(std::move(directory_age)),
      log(log),
      metrics(metrics),
      replicas(fleet.registry(), stream_lifetime),
      history(directory, stream_lifetime),
      clients(poller),
      history_exchange(
          poller,
          this->clients,
          fleet,
          this->history,
          [this] { return this->IsFresh(); },
          log) {}

StreamOrigins::~StreamOrigins() = default;

//==============================================================================
// Streams that begin

auto StreamOrigins::Record(StreamOrigin origin, bool is_told_always) -> void {
  const Instant now = this->poller.loop().Now();
  const bool is_replicated =
      is_told_always || this->MustTell(origin.service, now);
  this->replicas.RecordOwn(std::move(origin), is_replicated, now,
                           this->fleet.last_read_at());
  this->SendAllNews();
}

auto StreamOrigins::BeginLeaving() -> void {
  this->replicas.BeginLeaving();
  this->Update();
}

auto StreamOrigins::CoveredSince(Instant now) const -> Instant {
  const std::optional<Instant> no_fleet_at = this->fleet.found_no_fleet_at();
  return no_fleet_at && now - *no_fleet_at <= kMaxFirstListTime
             ? now - VersionHistory::kPeriod
             : now;
}

auto StreamOrigins::MustTell(const std::string& service, Instant now) const
    -> bool {
  return !this->history.IsComplete(now) || !this->IsFresh() ||
         this->history.IsMixed(service, now);
}

auto StreamOrigins::SendAllNews() -> void {
  for (auto& [address, news] : this->replicas.TakeNews()) {
    std::vector<StreamOriginReplicas::News>& waiting =
        this->outboxes[address].news;
    std::ranges::move(news, std::back_inserter(waiting));
    this->SendNews(address);
  }
}

auto StreamOrigins::SendNews(const std::string& address) -> void {
  Outbox& outbox = this->outboxes[address];
  if (outbox.is_sending || outbox.news.empty()) {
    return;  // They follow when the news under way are confirmed.
  }
  const Instant now = this->poller.loop().Now();
  const std::size_t count = std::min(outbox.news.size(), kMaxStreamsPerMessage);
  wire::StreamOriginNews message;
  message.set_teller(this->own_incarnation);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& [origin, recorded_at] = outbox.news[i];
    wire::StreamOriginRecord& record = *message.add_streams();
    record.set_attempt(origin.attempt_id);
    record.set_service(origin.service);
    record.set_version(origin.version);
    record.set_age_ms(ToMillis(now - recorded_at));
  }
  outbox.news.erase(outbox.news.begin(),
                    outbox.news.begin() + static_cast<std::ptrdiff_t>(count));
  outbox.is_sending = true;
  this->clients.IdleClient(address).Call(
      MakePeerRequest(kNewsPath, message.SerializeAsString()), kReplyTimeout,
      [this, address](const std::optional<Http1Client::Reply>& reply) {
        if (!reply || reply->status != kOk) {
          this->log.WriteLine(DecisionLog::Severity::kNotable,
                              "stream_news_failed", {{"peer", address}},
                              this->poller.loop().Now());
        }
        this->outboxes[address].is_sending = false;
        this->SendNews(address);
      });
}

auto StreamOrigins::Update() -> void {
  const Instant now = this->poller.loop().Now();
  if (this->IsFresh()) {
    this->history.Begin(this->CoveredSince(now));
  }
  this->history.Update(now);
  this->history_exchange.Update();
  this->replicas.Update(
      [this, now](const std::string& service) {
        return this->MustTell(service, now);
      },
      now, this->fleet.last_read_at());
  this->SendAllNews();
  this->clients.CloseUnused();
  std::erase_if(this->outboxes, [](const auto& item) {
    return !item.second.is_sending && item.second.news.empty();
  });
}

//==============================================================================
// Streams that are taken up

auto StreamOrigins::Find(const std::string& attempt_id,
                         const std::string& service,
                         const std::string& request_id,
                         OnAnswer on_answer) -> void {
  const Instant now = this->poller.loop().Now();
  const auto search = std::make_shared<Search>();
  search->attempt_id = attempt_id;
  search->request_id = request_id;
  search->on_answer = std::move(on_answer);
  search->began_at = now;
  search->listed_versions = this->history.VersionsOf(service, now);
  if (const StreamOrigin* const known = this->replicas.Find(attempt_id, now)) {
    this->Finish(*search, {known->version, known->service, "recorded"});
    return;
  }
  search->has_complete_view = this->history.IsComplete(now);
  search->has_fresh_view = search->has_complete_view && this->IsFresh();
  const bool may_be_known = !attempt_id.empty() &&
                            attempt_id.size() <= StreamOriginTable::kMaxIdBytes;
  const StreamOriginReplicas::Sources sources =
      this->replicas.SourcesOf(attempt_id, this->fleet.last_read_at());
  search->asked = sources.staying.size() + sources.leaving.size();
  const bool asks = search->asked > 0 && this->open_searches < kMaxSearches &&
                    (may_be_known || search->listed_versions.size() == 1);
  // One of them may be the router that began the stream, and have died.
  search->needed = sources.staying.size() < 2 ? sources.staying.size()
                                              : sources.staying.size() - 1;
  if (!asks) {
    this->Decide(*search);
    return;
  }
  wire::StreamOriginAsk message;
  message.set_attempt(attempt_id);
  message.set_service(service);
  search->pending = search->asked;
  ++this->open_searches;
  search->is_open = true;
  const std::string bytes = message.SerializeAsString();
  for (const std::string& address : sources.staying) {
    this->Ask(address, true, bytes, search);
  }
  for (const std::string& address : sources.leaving) {
    this->Ask(address, false, bytes, search);
  }
}

auto StreamOrigins::IsFresh() const -> bool {
  return this->directory_age() <= kMaxDirectoryAge;
}

auto StreamOrigins::Ask(const std::string& address,
                        bool stays,
                        const std::string& message,
                        const std::shared_ptr<Search>& search) -> void {
  this->clients.IdleClient(address).Call(
      MakePeerRequest(kAskPath, message), kReplyTimeout,
      [this, stays, search](const std::optional<Http1Client::Reply>& reply) {
        this->OnReply(*search, stays, reply);
      });
}

auto StreamOrigins::OnReply(Search& search,
                            bool stays,
                            const std::optional<Http1Client::Reply>& reply)
    -> void {
  --search.pending;
  wire::StreamOriginAnswer answer;
  if (reply && reply->status == kOk && answer.ParseFromString(reply->body)) {
    ++search.replies;
    search.replies_of_staying += stays ? 1 : 0;
    search.has_complete_view = search.has_complete_view || answer.is_complete();
    search.has_fresh_view =
        search.has_fresh_view || (answer.is_complete() && answer.is_fresh());
    search.listed_versions.insert(answer.listed_versions().begin(),
                                  answer.listed_versions().end());
    if (answer.is_known()) {
      this->Finish(search, {answer.version(), answer.known_service(), "told"});
      return;
    }
  }
  if (search.pending == 0) {
    this->Decide(search);
  }
}

auto StreamOrigins::Decide(Search& search) -> void {
  // An old list will do if nearly all answer: then the log is away, and nobody
  // has a newer one. A router that is cut off hears from its own side only.
  const bool is_agreed =
      search.listed_versions.size() == 1 && search.has_complete_view &&
      (search.has_fresh_view || search.replies_of_staying >= search.needed);
  this->Finish(search,
               is_agreed ? Answer{*search.listed_versions.begin(), "", "agreed"}
                         : Answer{"", "", "unknown"});
}

auto StreamOrigins::Finish(Search& search, const Answer& answer) -> void {
  const OnAnswer call = std::exchange(search.on_answer, {});
  if (!call) {
    return;
  }
  if (std::exchange(search.is_open, false)) {
    --this->open_searches;
  }
  const Instant now = this->poller.loop().Now();
  this->metrics.CountStreamTakenUp(answer.source);
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "stream_taken_up",
      {{"id", search.request_id},
       {"resumes",
        search.attempt_id.empty() ? std::string("-") : search.attempt_id},
       {"version", answer.version.empty() ? std::string("-") : answer.version},
       {"source", answer.source},
       {"versions_listed", search.listed_versions.size()},
       {"asked", search.asked},
       {"replies", search.replies},
       {"complete", search.has_complete_view ? 1 : 0},
       {"fresh", search.has_fresh_view ? 1 : 0},
       {"after_ms", now - search.began_at}},
      now);
  call(answer);
}

//==============================================================================

auto StreamOrigins::OnPeerRequest(Http1ServerSession& session,
                                  const Http1Request& request) -> void {
  const Instant now = this->poller.loop().Now();
  if (request.target == kHistoryPath) {
    this->history_exchange.OnPeerRequest(session);
    return;
  }
  if (request.target == kNewsPath) {
    wire::StreamOriginNews news;
    if (!news.ParseFromString(request.body)) {
      SendPeerReply(session, PeerStatus::kBadRequest, {});
      return;
    }
    for (const wire::StreamOriginRecord& record : news.streams()) {
      this->replicas.RecordTold(
          {record.attempt(), record.service(), record.version()},
          FromMillis(record.age_ms()), news.teller(), now);
    }
    SendPeerReply(session, PeerStatus::kOk, {});
    return;
  }
  wire::StreamOriginAsk ask;
  if (!ask.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  wire::StreamOriginAnswer answer;
  if (const StreamOrigin* const known =
          this->replicas.Find(ask.attempt(), now)) {
    answer.set_is_known(true);
    answer.set_version(known->version);
    answer.set_known_service(known->service);
  }
  for (const std::string& version :
       this->history.VersionsOf(ask.service(), now)) {
    answer.add_listed_versions(version);
  }
  answer.set_is_complete(this->history.IsComplete(now));
  answer.set_is_fresh(this->IsFresh());
  SendPeerReply(session, PeerStatus::kOk, answer.SerializeAsString());
}

}  // namespace auburnloft::gateway

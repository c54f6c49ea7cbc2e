#include "gateway/upstream_feed.h"

#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_gateway/membership/discovery_plan.h"
#include "fleet.pb.h"
#include "gateway/peer_message.h"
#include "platform/upstream_codec.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);
constexpr int kUnavailable = static_cast<int>(PeerStatus::kUnavailable);

/** Pause between looks at the upstreams' entries: well within the time that
   leaving ones still serve. */
constexpr Duration kPause = std::chrono::milliseconds(400);

/** How long a reader's answer is waited for: some times the usual of a small
   machine that is busy. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(300);

/** Pause after a reader that failed, before the next is asked. */
constexpr Duration kRetryPause = std::chrono::milliseconds(50);

/** Pause where a reader has just begun: it lists thousands of entries in some
   tenths of a second. */
constexpr Duration kNotReadyPause = std::chrono::milliseconds(150);

auto ToWire(const UpstreamChange& change, wire::UpstreamChangeRecord& message)
    -> void {
  message.set_id(change.id);
  message.set_removed(!change.record);
  if (!change.record) {
    return;
  }
  message.set_service(change.record->service);
  message.set_address(change.record->address);
  message.set_domain(change.record->domain);
  message.set_slots(change.record->slots);
  message.set_leaving(change.record->leaving);
  message.set_warm_up_left_us(
      static_cast<std::uint64_t>(change.record->warm_up_left.count()));
  message.set_started_at_ms(change.record->started_at_ms);
}

auto FromWire(const wire::UpstreamChangeRecord& message) -> UpstreamChange {
  UpstreamChange change;
  change.id = message.id();
  if (message.removed()) {
    return change;
  }
  UpstreamRecord& record = change.record.emplace();
  record.id = message.id();
  record.service = message.service();
  record.address = message.address();
  record.domain = message.domain();
  record.slots = message.slots();
  record.leaving = message.leaving();
  record.warm_up_left =
      Duration(static_cast<std::int64_t>(message.warm_up_left_us()));
  record.started_at_ms = message.started_at_ms();
  return change;
}

auto FromWire(const wire::UpstreamFeedNews& message) -> UpstreamUpdate {
  UpstreamUpdate news;
  news.newest = message.newest();
  news.whole = message.whole();
  for (const wire::UpstreamChangeRecord& change : message.changes()) {
    news.changes.push_back(FromWire(change));
  }
  return news;
}

}  // namespace

UpstreamFeed::UpstreamFeed(SocketPoller& poller,
                           Settings settings,
                           const FleetLink& fleet,
                           GatewayContext& context,
                           std::function<void(bool answered)> on_contact)
    : poller(poller),
      settings(std::move(settings)),
      fleet(fleet),
      context(context),
      contact(std::move(on_contact)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->Step(); })) {}

UpstreamFeed::~UpstreamFeed() = default;

auto UpstreamFeed::Start() -> void {
  if (std::exchange(this->started, true)) {
    return;
  }
  this->Plan();
  this->Step();
}

auto UpstreamFeed::Plan() -> void {
  this->source.SetPlan(PlanDiscovery(this->fleet.registry(),
                                     this->settings.name, this->settings.domain,
                                     this->fleet.as_of()));
  if (this->follower && !this->source.reads_log(this->poller.loop().Now())) {
    this->Step();
  }
}

auto UpstreamFeed::Step() -> void {
  if (this->source.reads_log(this->poller.loop().Now())) {
    this->ReadLog();
  } else {
    this->AskPeer();
  }
}

//==============================================================================
// From the log

auto UpstreamFeed::ReadLog() -> void {
  ++this->histories;
  this->history = std::make_unique<UpstreamChangeLog>();
  this->listed = false;
  this->context.log.Line(
      DecisionLog::Weight::kNotable, "feed",
      {{"source", "log"}, {"upstreams", this->context.upstreams.size()}},
      this->poller.loop().Now());
  TopicFollower::Callbacks calls;
  calls.on_record = [this](const KeyedRecord& record) {
    this->OnRecord(record);
  };
  calls.on_listed = [this](const std::set<std::string>& ids) {
    this->OnListed(ids);
  };
  calls.on_contact = [this](bool answered) { this->OnLogContact(answered); };
  this->follower = std::make_unique<TopicFollower>(
      this->poller, this->settings.log_address,
      TopicFollower::Settings{std::string(platform::kUpstreamTopic),
                              Duration(0), kPause, true},
      std::move(calls));
  this->follower->Start();
}

auto UpstreamFeed::OnRecord(const KeyedRecord& record) -> void {
  auto upstream = record.value
                      ? platform::ReadUpstream(record.key, *record.value)
                      : std::nullopt;
  this->history->RecordChange(record.key, upstream);
  if (upstream) {
    this->context.upstreams.Put(std::move(*upstream));
  } else {
    this->context.upstreams.Remove(record.key, this->poller.loop().Now());
  }
}

auto UpstreamFeed::OnListed(const std::set<std::string>& ids) -> void {
  this->listed = true;
  this->history->RemoveAllExcept(ids);
  this->context.upstreams.RemoveAllExcept(ids, this->poller.loop().Now());
}

auto UpstreamFeed::OnLogContact(bool answered) -> void {
  if (answered) {
    this->read_at = this->poller.loop().Now();
  }
  this->contact(answered);
}

auto UpstreamFeed::OnAsk(Http1ServerSession& session,
                         const Http1Request& request) -> void {
  wire::UpstreamFeedAsk ask;
  if (!ask.ParseFromString(request.body)) {
    AnswerPeer(session, PeerStatus::kBadRequest, {});
    return;
  }
  if (!this->follower || !this->listed) {
    AnswerPeer(session, PeerStatus::kUnavailable, {});
    return;
  }
  const std::string life =
      this->settings.incarnation + "/" + std::to_string(this->histories);
  const UpstreamUpdate news =
      this->history->ChangesSince(ask.life() == life ? ask.after() : 0);
  wire::UpstreamFeedNews message;
  message.set_life(life);
  message.set_newest(news.newest);
  message.set_whole(news.whole);
  message.set_age_us(static_cast<std::uint64_t>(
      (this->poller.loop().Now() - this->read_at).count()));
  for (const UpstreamChange& change : news.changes) {
    ToWire(change, *message.add_changes());
  }
  AnswerPeer(session, PeerStatus::kOk, message.SerializeAsString());
}

//==============================================================================
// From a reader

auto UpstreamFeed::AskPeer() -> void {
  if (std::exchange(this->follower, nullptr)) {
    this->context.log.Line(
        DecisionLog::Weight::kNotable, "feed",
        {{"source", "peer"}, {"upstreams", this->context.upstreams.size()}},
        this->poller.loop().Now());
  }
  const std::string peer = this->source.peer();
  if (peer != this->asked_peer) {
    this->asked_peer = peer;
    this->asked_life.clear();
    this->after = 0;
    this->caller.reset();
  }
  wire::UpstreamFeedAsk ask;
  ask.set_life(this->asked_life);
  ask.set_after(this->after);
  if (!this->caller) {
    this->caller = std::make_unique<Http1Caller>(this->poller, peer);
  }
  this->caller->Call(MakePeerCall(kPath, ask.SerializeAsString()), kAnswerLimit,
                     [this](const std::optional<Http1Caller::Reply>& reply) {
                       this->OnNews(reply);
                     });
}

auto UpstreamFeed::OnNews(const std::optional<Http1Caller::Reply>& reply)
    -> void {
  const Instant now = this->poller.loop().Now();
  wire::UpstreamFeedNews message;
  const bool answered =
      reply && reply->status == kOk && message.ParseFromString(reply->body);
  const UpdateAge age{Duration(static_cast<std::int64_t>(message.age_us())),
                      now - this->context.log_contact_at};
  if (answered && DiscoverySource::IsFresh(age)) {
    this->asked_life = message.life();
    this->after = message.newest();
    this->Apply(FromWire(message));
    this->source.RecordSuccess();
    this->timer->Start(kPause);
    return;
  }
  this->context.log.Line(DecisionLog::Weight::kNotable, "feed_failed",
                         {{"peer", this->asked_peer},
                          {"status", reply ? reply->status : 0},
                          {"reader_age_ms", age.reader},
                          {"own_age_ms", age.own}},
                         now);
  const bool not_ready = reply && reply->status == kUnavailable;
  this->source.RecordFailure(not_ready ? DiscoverySource::Failure::kNotReady
                                       : DiscoverySource::Failure::kNoUpdate,
                             this->log_in_touch(now), now);
  this->timer->Start(not_ready ? kNotReadyPause : kRetryPause);
}

auto UpstreamFeed::Apply(const UpstreamUpdate& news) -> void {
  const Instant now = this->poller.loop().Now();
  std::set<std::string> ids;
  for (const UpstreamChange& change : news.changes) {
    if (change.record) {
      ids.insert(change.id);
      this->context.upstreams.Put(*change.record);
    } else {
      this->context.upstreams.Remove(change.id, now);
    }
  }
  if (news.whole) {
    this->context.upstreams.RemoveAllExcept(ids, now);
  }
}

auto UpstreamFeed::log_in_touch(Instant now) const -> bool {
  return now - this->context.log_contact_at < kLogAwayAfter;
}

}  // namespace auburnloft::gateway

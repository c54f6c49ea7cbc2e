#include "gateway/upstream_discovery.h"

#include <utility>

#include "al_core/text/digest.h"
#include "al_core/text/printable.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_gateway/membership/discovery_plan.h"
#include "fleet.pb.h"
#include "gateway/engine_feed.h"
#include "gateway/evacuation_handler.h"
#include "gateway/peer_message.h"
#include "platform/upstream_codec.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = static_cast<int>(PeerStatus::kOk);
constexpr int kUnavailable = static_cast<int>(PeerStatus::kUnavailable);

/** Interval between polls for upstream records: well below the time for which a
   draining upstream still serves requests. */
constexpr Duration kPollInterval = std::chrono::milliseconds(400);

/** Timeout for a reader's reply: a few times the usual latency of a small, busy
   VM. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);

/** Delay after a reader failed, before the next request. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

/** Delay if a reader has only just started: it lists thousands of records in a
   few tenths of a second. */
constexpr Duration kNotReadyDelay = std::chrono::milliseconds(150);

/** Minimum interval between two configurations from a reader. Of configurations
   in quick succession, most are skipped: a small VM's link and processor could
   not take them all, and a second is well within the time in which a
   configuration must be in force. */
constexpr Duration kMinConfigInterval = std::chrono::milliseconds(1'000);

/** Maximum number of records that cannot be read and of which this is noted, so
   that each is logged and counted once. */
constexpr std::size_t kMaxUnreadable = 1'024;

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
  message.set_version(change.record->version);
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
  record.version = message.version();
  return change;
}

auto FromWire(const wire::UpstreamFeedNews& message) -> UpstreamUpdate {
  UpstreamUpdate update;
  update.newest = message.newest();
  update.whole = message.whole();
  for (const wire::UpstreamChangeRecord& change : message.changes()) {
    update.changes.push_back(FromWire(change));
  }
  return update;
}

}  // namespace

UpstreamDiscovery::UpstreamDiscovery(SocketPoller& poller,
                                     Settings settings,
                                     LogEra& era,
                                     const FleetTopicClient& fleet,
                                     GatewayContext& context,
                                     Callbacks callbacks)
    : poller(poller),
      settings(std::move(settings)),
      era(era),
      fleet(fleet),
      context(context),
      callbacks(std::move(callbacks)),
      timer(
          std::make_unique<LoopTimer>(poller.loop(), [this] { this->Poll(); })),
      engine_reporter(context.upstreams,
                      StableHash(this->settings.incarnation)),
      engine_loads(context.upstreams) {}

UpstreamDiscovery::~UpstreamDiscovery() = default;

auto UpstreamDiscovery::Start() -> void {
  if (std::exchange(this->started, true)) {
    return;
  }
  this->UpdatePlan();
  this->Poll();
}

auto UpstreamDiscovery::UpdatePlan() -> void {
  this->source.SetPlan(PlanDiscovery(this->fleet.registry(),
                                     this->settings.name, this->settings.domain,
                                     this->fleet.last_read_at()));
  if (this->follower && !this->source.reads_log(this->poller.loop().Now())) {
    this->Poll();
  }
}

auto UpstreamDiscovery::SetConfig(std::uint64_t version,
                                  std::shared_ptr<const std::string> text)
    -> void {
  this->config_version = version;
  this->config_text = this->reads_log() ? std::move(text) : nullptr;
}

auto UpstreamDiscovery::reads_log() const -> bool {
  return !this->started || this->source.reads_log(this->poller.loop().Now());
}

auto UpstreamDiscovery::Poll() -> void {
  if (this->source.reads_log(this->poller.loop().Now())) {
    this->ReadLog();
  } else {
    this->RequestFromReader();
  }
}

//==============================================================================
// From the log

auto UpstreamDiscovery::ReadLog() -> void {
  ++this->change_log_count;
  this->change_log = std::make_unique<UpstreamChangeLog>();
  this->listed = false;
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "feed",
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
      this->poller, this->settings.log_address, this->era,
      TopicFollower::Settings{std::string(platform::kUpstreamTopic),
                              Duration(0), kPollInterval, true},
      std::move(calls));
  this->follower->Start();
}

auto UpstreamDiscovery::OnRecord(const KeyedRecord& record) -> void {
  if (!IsPrintable(record.key)) {
    // It can be no upstream, and would spoil the updates for other routers.
    this->OnUnreadable(record);
    return;
  }
  auto upstream = record.value
                      ? platform::ReadUpstream(record.key, *record.value)
                      : std::nullopt;
  if (record.value && !upstream) {
    this->OnUnreadable(record);
  } else {
    this->unreadable.erase(record.key);
  }
  this->change_log->RecordChange(record.key, upstream);
  if (upstream) {
    this->PutUpstream(*upstream);
  } else {
    this->context.upstreams.Remove(record.key, this->poller.loop().Now());
  }
}

auto UpstreamDiscovery::OnUnreadable(const KeyedRecord& record) -> void {
  if (this->unreadable.size() >= kMaxUnreadable ||
      !this->unreadable.insert(record.key).second) {
    return;
  }
  this->context.metrics.CountUpstreamNotice("unreadable");
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "upstream_unreadable",
      {{"upstream", IsPrintable(record.key) ? record.key : std::string("-")},
       {"bytes", record.value ? record.value->size() : 0}},
      this->poller.loop().Now());
}

auto UpstreamDiscovery::OnListed(const std::set<std::string>& ids) -> void {
  this->listed = true;
  this->change_log->RemoveAllExcept(ids);
  this->context.upstreams.RemoveAllExcept(ids, this->poller.loop().Now());
}

auto UpstreamDiscovery::OnLogContact(bool answered) -> void {
  if (answered) {
    this->log_read_at = this->poller.loop().Now();
    this->directory_as_of = this->log_read_at;
  }
  this->callbacks.on_contact(answered);
}

auto UpstreamDiscovery::OnPeerRequest(Http1ServerSession& session,
                                      const Http1Request& request) -> void {
  wire::UpstreamFeedAsk update_request;
  if (!update_request.ParseFromString(request.body)) {
    SendPeerReply(session, PeerStatus::kBadRequest, {});
    return;
  }
  if (!this->follower || !this->listed ||
      !this->context.evacuations.IsCurrent(this->context.is_log_reachable)) {
    SendPeerReply(session, PeerStatus::kUnavailable, {});
    return;
  }
  const std::string change_log_id =
      this->settings.incarnation + "/" + std::to_string(this->change_log_count);
  const UpstreamUpdate update = this->change_log->ChangesSince(
      update_request.life() == change_log_id ? update_request.after() : 0);
  wire::UpstreamFeedNews message;
  message.set_life(change_log_id);
  message.set_newest(update.newest);
  message.set_whole(update.whole);
  message.set_age_us(static_cast<std::uint64_t>(
      (this->poller.loop().Now() - this->log_read_at).count()));
  for (const UpstreamChange& change : update.changes) {
    ToWire(change, *message.add_changes());
  }
  this->context.evacuations.Fill(message);
  if (update_request.wants_config() && this->config_text &&
      update_request.config_version() < this->config_version) {
    message.set_config(*this->config_text);
  }
  if (const auto report = ReadEngineReport(update_request)) {
    const Instant now = this->poller.loop().Now();
    this->LogDropped("router", this->engine_loads.Apply(*report, now));
    this->engine_loads.Update(this->context.routers, now);
    ToWire(
        this->engine_loads.NewsSince(update_request.life() == change_log_id
                                         ? update_request.engine_states_after()
                                         : 0),
        *message.mutable_engine_states());
  }
  SendPeerReply(session, PeerStatus::kOk, message.SerializeAsString());
}

auto UpstreamDiscovery::LogDropped(std::string_view source, std::size_t dropped)
    -> void {
  if (dropped == 0) {
    return;
  }
  this->context.metrics.CountEngineReportsDropped(dropped);
  this->context.log.WriteLine(DecisionLog::Severity::kNotable,
                              "engine_report_dropped",
                              {{"source", source},
                               {"reader", this->reader_address},
                               {"engines", dropped}},
                              this->poller.loop().Now());
}

//==============================================================================
// From a reader

auto UpstreamDiscovery::RequestFromReader() -> void {
  if (std::exchange(this->follower, nullptr)) {
    this->context.log.WriteLine(
        DecisionLog::Severity::kNotable, "feed",
        {{"source", "peer"}, {"upstreams", this->context.upstreams.size()}},
        this->poller.loop().Now());
    this->config_text.reset();
  }
  const std::string peer = this->source.peer();
  if (peer != this->reader_address) {
    this->reader_address = peer;
    this->reader_incarnation.clear();
    this->last_change = 0;
    this->engine_reporter.Reset();
    this->reader_connection.reset();
  }
  wire::UpstreamFeedAsk update_request;
  update_request.set_life(this->reader_incarnation);
  update_request.set_after(this->last_change);
  update_request.set_config_version(this->config_version);
  update_request.set_wants_config(this->poller.loop().Now() -
                                      this->config_received_at >=
                                  kMinConfigInterval);
  update_request.set_engine_states_after(this->engine_reporter.newest());
  AddToAsk(this->engine_reporter.MakeReport(this->poller.loop().Now()),
           update_request);
  if (!this->reader_connection) {
    this->reader_connection = std::make_unique<Http1Client>(this->poller, peer);
  }
  this->reader_connection->Call(
      MakePeerRequest(kPath, update_request.SerializeAsString()), kReplyTimeout,
      [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnReaderReply(reply);
      });
}

auto UpstreamDiscovery::OnReaderReply(
    const std::optional<Http1Client::Reply>& reply) -> void {
  const Instant now = this->poller.loop().Now();
  wire::UpstreamFeedNews message;
  const bool is_valid_reply =
      reply && reply->status == kOk && message.ParseFromString(reply->body);
  const UpdateAge age{Duration(static_cast<std::int64_t>(message.age_us())),
                      now - this->context.last_log_reply_at};
  if (is_valid_reply && DiscoverySource::IsFresh(age)) {
    const bool is_new_life = this->reader_incarnation != message.life();
    this->reader_incarnation = message.life();
    this->last_change = message.newest();
    // Before the upstreams, of which one may be in a domain evacuated since.
    this->reader_tells_evacuations = this->context.evacuations.Apply(message);
    this->Apply(FromWire(message));
    this->ApplyEngineStates(message.engine_states(), is_new_life);
    if (!message.config().empty()) {
      this->config_received_at = now;
      this->callbacks.on_config(message.config());
    }
    this->directory_as_of = now - age.reader;
    this->source.RecordSuccess();
    this->timer->Start(kPollInterval);
    return;
  }
  this->context.log.WriteLine(DecisionLog::Severity::kNotable, "feed_failed",
                              {{"peer", this->reader_address},
                               {"status", reply ? reply->status : 0},
                               {"reader_age_ms", age.reader},
                               {"own_age_ms", age.own}},
                              now);
  const bool not_ready = reply && reply->status == kUnavailable;
  this->source.RecordFailure(not_ready ? DiscoverySource::Failure::kNotReady
                                       : DiscoverySource::Failure::kNoUpdate,
                             this->IsLogReachable(now), now);
  this->timer->Start(not_ready ? kNotReadyDelay : kRetryDelay);
}

auto UpstreamDiscovery::Apply(const UpstreamUpdate& update) -> void {
  const Instant now = this->poller.loop().Now();
  std::set<std::string> ids;
  for (const UpstreamChange& change : update.changes) {
    if (change.record) {
      ids.insert(change.id);
      this->PutUpstream(*change.record);
    } else {
      this->context.upstreams.Remove(change.id, now);
    }
  }
  if (update.whole) {
    this->context.upstreams.RemoveAllExcept(ids, now);
  }
}

auto UpstreamDiscovery::PutUpstream(const UpstreamRecord& record) -> void {
  this->context.upstreams.Put(record);
  this->context.cold_upstreams.RecordWarmUp(record, this->poller.loop().Now());
}

auto UpstreamDiscovery::ApplyEngineStates(const wire::EngineStates& message,
                                          bool is_new_life) -> void {
  const Instant now = this->poller.loop().Now();
  if (is_new_life && this->engine_reporter.is_known()) {
    // The reader has started over, and this request told it only changes.
    this->engine_reporter.Reset();
    return;
  }
  this->engine_reporter.Confirm(now);
  const auto news = gateway::FromWire(message);
  this->LogDropped(
      "reader",
      news ? this->engine_reporter.Apply(*news, this->context.routers, now)
           : static_cast<std::size_t>(message.engines_size()));
}

auto UpstreamDiscovery::IsLogReachable(Instant now) const -> bool {
  return now - this->context.last_log_reply_at < kLogUnreachableAfter;
}

}  // namespace auburnloft::gateway

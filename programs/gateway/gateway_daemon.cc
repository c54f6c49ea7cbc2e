#include "gateway/gateway_daemon.h"

#include <utility>

#include "al_edge/loop/loop_timer.h"
#include "gateway/request_run.h"
#include "gateway/state_dump.h"
#include "platform/config_codec.h"
#include "platform/entry_codec.h"
#include "platform/request_codec.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** How long callers keep the addresses that they were told. */
constexpr Duration kEntryLifetime = std::chrono::seconds(1);

/** After SIGTERM: how long any stream is begun for callers that hold an older
   answer, some of them three times its lifetime. Later only those are that have
   the time to finish. */
constexpr Duration kTakesStreams = std::chrono::milliseconds(3'000);

/** After SIGTERM: how long idle connections stay open. Callers that come back
   then are told of other routers. */
constexpr Duration kKeepsIdle = std::chrono::milliseconds(1'500);

/** A connection counts as idle after this long: one that is just made is about
   to carry a request. */
constexpr Duration kIdleFor = std::chrono::milliseconds(300);

/** After SIGTERM: the least time until the end, in which callers that still
   come get an answer. */
constexpr Duration kLeastDrain = std::chrono::milliseconds(3'500);

/** Before the grace period ends: the time to return allowances and to end. */
constexpr Duration kEndReserve = std::chrono::milliseconds(900);

/** How long the return of allowances may take. */
constexpr Duration kReturnLimit = std::chrono::milliseconds(500);

constexpr Duration kDrainPause = std::chrono::milliseconds(100);
constexpr Duration kTickPause = std::chrono::milliseconds(500);

/** How long the log may hold a question for a newer configuration. */
constexpr Duration kConfigWait = std::chrono::milliseconds(1'000);

auto Respond(Http1ServerSession& session,
             int status,
             std::string_view type,
             std::string_view body) -> void {
  Http1ResponseHead head = platform::MakeOwnAnswer(status, {}, Duration(0));
  if (!type.empty()) {
    head.fields.Add("Content-Type", type);
  }
  session.Answer(head, body);
}

}  // namespace

GatewayDaemon::GatewayDaemon(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      poller(loop),
      random(this->options.seed),
      log(this->options.log_descriptor),
      connections(this->poller),
      upstreams([this](const UpstreamState& upstream) {
        this->connections.CloseIdle(upstream.record().id);
        this->log.Line(DecisionLog::Weight::kNotable, "upstream_left",
                       {{"upstream", upstream.record().id},
                        {"service", upstream.record().service},
                        {"gone", upstream.is_removed() ? 1 : 0}},
                       this->loop.Now());
      }),
      chooser(this->upstreams, this->options.self.domain),
      retries(this->options.retry_bound),
      desk(this->options.self.incarnation, AllowanceSizing()),
      budgets(loop,
              this->desk,
              [this](const std::string& team) { this->OnShortage(team); }),
      context{loop,          nullptr,           this->upstreams,
              this->chooser, this->connections, this->retries,
              this->desk,    this->budgets,     this->random,
              this->log,     this->metrics},
      fleet(
          this->poller,
          this->options.log_address,
          this->options.self,
          this->desk,
          this->log,
          {[this](const std::string& team) { this->budgets.TryWaiting(team); },
           [this](bool answered) { this->OnContact(answered); },
           [this] { this->feed.Start(); }}),
      peers(
          this->poller,
          this->options.self.incarnation,
          this->desk,
          this->fleet,
          this->log,
          {[this](const std::string& team) { this->budgets.TryWaiting(team); },
           [this](const std::string& /*team*/) {
             if (this->context.log_in_touch) {
               this->fleet.AskSoon();
             }
           }}),
      feed(this->poller,
           {this->options.log_address, this->options.self.name,
            this->options.self.incarnation, this->options.self.domain},
           this->fleet,
           this->context,
           [this](bool answered) { this->OnContact(answered); }),
      tick(std::make_unique<LoopTimer>(loop, [this] { this->OnTick(); })),
      drain_tick(
          std::make_unique<LoopTimer>(loop, [this] { this->OnDrainTick(); })) {
  this->log.SetQuiet(this->options.quiet);
  this->budgets.SetIsSpent(
      [this](const std::string& team, std::uint64_t tokens) {
        return this->desk.IsBudgetExhausted(team, tokens, this->fleet.ledger(),
                                            this->fleet.IsAliveNow());
      });
}

GatewayDaemon::~GatewayDaemon() = default;

auto GatewayDaemon::Start() -> bool {
  const bool opened =
      this->OpenDoor(this->options.self.client_address,
                     [this](std::shared_ptr<Http1ServerSession> session,
                            Http1Request request) {
                       std::make_shared<RequestRun>(this->context,
                                                    std::move(session),
                                                    std::move(request))
                           ->Start();
                     }) &&
      this->OpenDoor(this->options.entry_address,
                     [this](const std::shared_ptr<Http1ServerSession>& session,
                            const Http1Request& request) {
                       this->OnEntryQuestion(*session, request);
                     }) &&
      this->OpenDoor(this->options.readiness_address,
                     [this](const std::shared_ptr<Http1ServerSession>& session,
                            const Http1Request& request) {
                       this->OnReadinessQuestion(*session, request);
                     }) &&
      this->OpenDoor(this->options.self.peer_address,
                     [this](const std::shared_ptr<Http1ServerSession>& session,
                            const Http1Request& request) {
                       this->OnPeerQuestion(*session, request);
                     }) &&
      (this->options.metrics_address.empty() ||
       this->OpenDoor(this->options.metrics_address,
                      [this](const std::shared_ptr<Http1ServerSession>& session,
                             const Http1Request& request) {
                        this->OnMetricsQuestion(*session, request);
                      }));
  if (!opened) {
    return false;
  }
  this->log.Line(DecisionLog::Weight::kNotable, "start",
                 {{"router", this->options.self.name},
                  {"incarnation", this->options.self.incarnation},
                  {"domain", this->options.self.domain}},
                 this->loop.Now());
  this->FollowLog();
  this->OnTick();
  return true;
}

auto GatewayDaemon::OpenDoor(const std::string& address,
                             Http1ServerSession::OnRequest call) -> bool {
  auto door = std::make_unique<Http1Server>(this->poller, this->limits,
                                            std::move(call));
  const bool opened = door->Listen(address);
  if (!opened) {
    this->log.Line(DecisionLog::Weight::kNotable, "listen_failed",
                   {{"address", address}}, this->loop.Now());
  }
  this->doors.push_back(std::move(door));
  return opened;
}

//==============================================================================
// Questions

auto GatewayDaemon::OnEntryQuestion(Http1ServerSession& session,
                                    const Http1Request& request) -> void {
  const auto question = platform::ReadEntryQuestion(request.target);
  if (!question) {
    Respond(session, kNotFound, "", "");
    return;
  }
  const std::vector<std::string> addresses =
      this->fleet.registry().AddressesFor(question->domain,
                                          this->fleet.as_of());
  if (addresses.empty()) {
    Respond(session, kUnavailable, "", "");
    return;
  }
  Respond(session, kOk, "application/json",
          platform::MakeEntryAnswer(addresses, kEntryLifetime));
}

auto GatewayDaemon::OnReadinessQuestion(Http1ServerSession& session,
                                        const Http1Request& request) -> void {
  if (request.target != platform::kReadinessPath) {
    Respond(session, kNotFound, "", "");
    return;
  }
  Respond(session, this->ready() ? kOk : kUnavailable, "", "");
}

auto GatewayDaemon::OnPeerQuestion(Http1ServerSession& session,
                                   const Http1Request& request) -> void {
  if (request.target == UpstreamFeed::kPath) {
    this->feed.OnAsk(session, request);
  } else {
    this->peers.OnAsk(session, request);
  }
}

auto GatewayDaemon::OnMetricsQuestion(Http1ServerSession& session,
                                      const Http1Request& request) -> void {
  if (request.target == "/metrics") {
    Respond(session, kOk, "text/plain; version=0.0.4",
            this->metrics.ToPrometheus());
  } else if (request.target == "/state") {
    Respond(session, kOk, "application/json", this->StateDump());
  } else {
    Respond(session, kNotFound, "", "");
  }
}

auto GatewayDaemon::ready() const -> bool {
  return this->context.table != nullptr && !this->draining_since;
}

//==============================================================================
// The log

auto GatewayDaemon::FollowLog() -> void {
  const auto contact = [this](bool answered) { this->OnContact(answered); };
  TopicFollower::Callbacks config_calls;
  config_calls.on_record = [this](const KeyedRecord& record) {
    this->OnConfigRecord(record);
  };
  config_calls.on_listed = [](const std::set<std::string>& /*keys*/) {};
  config_calls.on_contact = contact;
  this->config_follower = std::make_unique<TopicFollower>(
      this->poller, this->options.log_address,
      TopicFollower::Settings{std::string(platform::kOperatorTopic),
                              kConfigWait, Duration(0), true},
      std::move(config_calls));
  this->config_follower->Start();
  this->fleet.Start();
}

auto GatewayDaemon::OnConfigRecord(const KeyedRecord& record) -> void {
  if (record.key != platform::kConfigKey || !record.value) {
    return;
  }
  Findings findings;
  auto config = platform::ReadConfig(*record.value, findings);
  if (!config) {
    this->log.Line(DecisionLog::Weight::kNotable, "config_rejected",
                   {{"findings", findings.ToText()}}, this->loop.Now());
    return;
  }
  if (this->context.table &&
      config->version <= this->context.table->config().version) {
    return;
  }
  for (const TeamRule& team : config->teams) {
    if (team.prepaid_tokens) {
      this->desk.SetBudget(team.name, *team.prepaid_tokens);
    }
  }
  const bool closes = this->limits.closes_after_answer;
  this->limits = config->limits;
  this->limits.closes_after_answer = closes;
  this->log.Line(DecisionLog::Weight::kNotable, "config",
                 {{"version", config->version},
                  {"routes", config->routes.size()},
                  {"teams", config->teams.size()}},
                 this->loop.Now());
  this->fleet.SetConfigVersion(config->version);
  this->context.table = std::make_shared<RouteTable>(std::move(*config));
}

auto GatewayDaemon::OnContact(bool answered) -> void {
  const Instant now = this->loop.Now();
  if (!answered) {
    return;
  }
  const bool was_away = this->context.log_contact_at != Instant() &&
                        now - this->context.log_contact_at >= kLogAwayAfter;
  this->context.log_contact_at = now;
  if (!this->context.log_in_touch) {
    this->context.log_in_touch = true;
    this->log.Line(DecisionLog::Weight::kNotable, "log_regained", {}, now);
  }
  if (was_away) {
    this->upstreams.RecordLogRecovery(now);
  }
}

auto GatewayDaemon::OnShortage(const std::string& team) -> void {
  // A holder of the reserve goes to the log, where it is filled; the others go
  // to the holders, which answer sooner and spare the log their entries.
  if (this->fleet.HoldsReserve(team)) {
    this->fleet.AskSoon();
    const std::uint64_t budget = this->desk.BudgetOf(team);
    const std::uint64_t taken = this->fleet.ledger().Taken(team);
    if (this->fleet.IsPrompt() &&
        budget >= taken + this->desk.Shortage(team, this->loop.Now())) {
      return;
    }
  }
  this->peers.AskFor(team);
}

auto GatewayDaemon::OnTick() -> void {
  this->tick->Start(kTickPause);
  const Instant now = this->loop.Now();
  this->upstreams.Expire(now);
  this->context.routers = this->fleet.CountActive();
  this->feed.Plan();
  if (this->context.log_in_touch &&
      now - this->context.log_contact_at >= kLogAwayAfter) {
    this->context.log_in_touch = false;
    this->log.Line(DecisionLog::Weight::kNotable, "log_lost",
                   {{"silent_ms", now - this->context.log_contact_at}}, now);
  }
}

//==============================================================================
// Shutdown

auto GatewayDaemon::Drain() -> void {
  if (this->draining_since) {
    return;
  }
  this->draining_since = this->loop.Now();
  this->limits.closes_after_answer = true;
  this->log.Line(DecisionLog::Weight::kNotable, "drain",
                 {{"open", this->context.open_requests}},
                 *this->draining_since);
  this->fleet.AnnounceLeaving();
  this->drain_tick->Start(kDrainPause);
}

auto GatewayDaemon::NoteHangup() -> void {
  this->log.Line(DecisionLog::Weight::kNotable, "hangup",
                 {{"settings", "unchanged until a new start"}},
                 this->loop.Now());
}

auto GatewayDaemon::OnDrainTick() -> void {
  const Duration passed = this->loop.Now() - *this->draining_since;
  if (passed >= kTakesStreams) {
    const Duration left = this->options.grace - kEndReserve - passed;
    this->context.stream_limit = std::max(Duration(1), left);
  }
  if (passed >= kKeepsIdle) {
    // Callers do not ask where to connect while they have an open connection.
    this->doors.front()->CloseIdle(kIdleFor);
  }
  const bool idle = passed >= kLeastDrain && this->context.open_requests == 0;
  if (!idle && passed < this->options.grace - kEndReserve) {
    this->drain_tick->Start(kDrainPause);
    return;
  }
  this->FinishDrain();
}

auto GatewayDaemon::FinishDrain() -> void {
  const auto end = [this] {
    this->drain_tick->Stop();
    if (this->options.on_ended) {
      this->options.on_ended();
    } else {
      this->loop.Stop();
    }
  };
  if (std::exchange(this->returning, true)) {
    end();  // The log does not take the return in time.
    return;
  }
  for (const auto& door : this->doors) {
    door->StopListening();
  }
  this->log.Line(DecisionLog::Weight::kNotable, "stop",
                 {{"open", this->context.open_requests},
                  {"left_out", this->log.dropped()}},
                 this->loop.Now());
  this->fleet.ReturnAll(end);
  this->drain_tick->Start(kReturnLimit);
}

//==============================================================================

auto GatewayDaemon::StateDump() const -> std::string {
  return DumpState({this->options.self, this->context, this->fleet,
                    this->upstreams.size(), this->poller.size()});
}

}  // namespace auburnloft::gateway

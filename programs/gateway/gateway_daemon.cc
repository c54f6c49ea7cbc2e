#include "gateway/gateway_daemon.h"

#include <array>
#include <utility>

#include "al_edge/loop/loop_timer.h"
#include "al_gateway/hedging/hedge_policy.h"
#include "al_gateway/limits/connection_shedding.h"
#include "al_gateway/routing/admission.h"
#include "al_http1/descriptor_plan.h"
#include "gateway/request_handler.h"
#include "gateway/state_dump.h"
#include "platform/config_codec.h"
#include "platform/request_codec.h"
#include "platform/router_address_codec.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** How long callers may cache the addresses of a lookup. */
constexpr Duration kAddressLifetime = std::chrono::seconds(1);

/** After SIGTERM: how long idle connections stay open. Callers that look up an
   address after that get those of other routers. */
constexpr Duration kIdleKeepPeriod = std::chrono::milliseconds(1'500);

/** A connection counts as idle after this time without a request: a new
   connection is about to carry one. */
constexpr Duration kIdleThreshold = std::chrono::milliseconds(300);

/** After SIGTERM: minimum time until the exit, during which late callers are
   still served. */
constexpr Duration kMinDrain = std::chrono::milliseconds(3'500);

/** Timeout for returning the last allowances. */
constexpr Duration kReturnTimeout = std::chrono::milliseconds(500);

/** After the end of a drain: minimum time until the exit, during which requests
   on connections that the kernel had already accepted are refused with a
   response. It exceeds the time that a request spends on its way. */
constexpr Duration kMinRefusePeriod = std::chrono::milliseconds(200);

/** Maximum time until the exit if callers do not read their responses, within
   the grace period. */
constexpr Duration kMaxRefusePeriod = std::chrono::milliseconds(500);

/** Interval at which surplus allowances are handed to reserve holders: about
   the duration of a short stream. */
constexpr Duration kSurplusInterval = std::chrono::milliseconds(1'000);

constexpr Duration kStopInterval = std::chrono::milliseconds(20);
constexpr Duration kDrainInterval = std::chrono::milliseconds(100);
constexpr Duration kTickInterval = std::chrono::milliseconds(500);

/** Timers that are late by this much are logged: a sixth of the shortest time
   to a first event that routes of the users aim for. */
constexpr Duration kLoggedLateness = std::chrono::milliseconds(50);

/** Maximum duration of a long poll of the log for a newer configuration. */
constexpr Duration kConfigWait = std::chrono::milliseconds(1'000);

/** Minimum interval between two reads of the configuration. Of configurations
   in quick succession, only the newest of an interval is parsed. */
constexpr Duration kConfigReadInterval = std::chrono::milliseconds(150);

auto Respond(Http1ServerSession& session,
             int status,
             std::string_view type,
             std::string_view body) -> void {
  Http1ResponseHead head =
      platform::MakeLocalResponseHead(status, {}, Duration(0));
  if (!type.empty()) {
    head.fields.Add("Content-Type", type);
  }
  session.Respond(head, body);
}

auto MemoryGauges(const MemoryAccount& account) -> std::string {
  const auto gauge = [](const std::string& name, std::size_t value) {
    return "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) +
           "\n";
  };
  return gauge("auburnloft_memory_account_bytes", account.used()) +
         gauge("auburnloft_memory_account_peak_bytes", account.peak()) +
         gauge("auburnloft_memory_account_limit_bytes", account.limit()) +
         gauge("auburnloft_memory_large_body_bytes", account.large_bodies());
}

}  // namespace

GatewayDaemon::GatewayDaemon(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      poller(loop),
      random(this->options.seed),
      log(this->options.log_descriptor),
      log_era([this](std::optional<std::uint64_t> previous) {
        this->OnLogEra(previous);
      }),
      connections(this->poller),
      upstreams([this](const UpstreamState& upstream) {
        this->connections.CloseIdle(upstream.record().id);
        this->log.WriteLine(DecisionLog::Severity::kNotable, "upstream_left",
                            {{"upstream", upstream.record().id},
                             {"service", upstream.record().service},
                             {"gone", upstream.is_removed() ? 1 : 0}},
                            this->loop.Now());
      }),
      upstream_limits(this->options.self.incarnation, this->upstreams),
      cold_upstreams(
          this->upstream_limits,
          [this](std::string_view service) {
            return this->context.table
                       ? this->context.table->FindService(service)
                       : nullptr;
          },
          [this](const ColdUpstreams::Change& change) {
            this->OnUpstreamCold(change);
          }),
      evacuations(loop,
                  this->upstreams,
                  this->connections,
                  this->cold_upstreams,
                  this->log,
                  this->metrics),
      chooser(this->upstreams,
              this->options.self.domain,
              this->options.self.name),
      retry_budget(this->options.retry_bound),
      allowance_manager(this->options.self.incarnation,
                        this->options.allowances),
      reservations(loop,
                   this->allowance_manager,
                   [this](const std::string& team) { this->OnShortage(team); }),
      quarantine(
          this->options.self.incarnation,
          [this](const CrashQuarantine::Change& change) {
            this->LogQuarantineChange(change);
          },
          [this](const CrashEvidence::Weighing& weighing) {
            this->LogWeighedEvidence(weighing);
          }),
      end_detector(this->poller,
                   this->upstreams,
                   {[this](const UpstreamProcess& upstream) {
                      this->OnUpstreamEnded(upstream);
                    },
                    [this](const UpstreamProcess& upstream) {
                      this->quarantine.DoubtEnd(upstream, this->loop.Now());
                    }}),
      context{loop,
              nullptr,
              this->upstreams,
              this->evacuations,
              this->upstream_limits,
              this->cold_upstreams,
              this->chooser,
              this->connections,
              this->retry_budget,
              this->allowance_manager,
              this->reservations,
              this->quarantine,
              this->random,
              this->log,
              this->metrics},
      fleet_topic(this->poller,
                  this->options.log_address,
                  this->log_era,
                  this->options.self,
                  this->allowance_manager,
                  this->quarantine,
                  this->upstream_limits,
                  this->log,
                  {[this](const std::string& team) {
                     this->reservations.RetryWaiting(team);
                   },
                   [this](const AllowanceEntry& entry) {
                     this->increase_notifier.Send(entry);
                   },
                   [this](bool answered) { this->OnContact(answered); },
                   [this] { this->upstream_discovery.Start(); }}),
      increase_notifier(this->poller,
                        this->options.self.incarnation,
                        this->log_era,
                        this->fleet_topic,
                        this->allowance_manager,
                        this->log,
                        [this](const std::string& team) {
                          this->reservations.RetryWaiting(team);
                        }),
      allowance_exchange(this->poller,
                         this->options.self.incarnation,
                         this->allowance_manager,
                         this->fleet_topic,
                         this->log,
                         {[this](const std::string& team) {
                            this->reservations.RetryWaiting(team);
                          },
                          [this](const std::string& /*team*/) {
                            if (this->context.is_log_reachable) {
                              this->fleet_topic.ScheduleWrite();
                            }
                          },
                          [this] {
                            if (this->context.is_log_reachable) {
                              this->fleet_topic.ScheduleWrite();
                            }
                          }}),
      upstream_discovery(
          this->poller,
          {this->options.log_address, this->options.self.name,
           this->options.self.incarnation, this->options.self.domain},
          this->log_era,
          this->fleet_topic,
          this->context,
          {[this](bool answered) { this->OnContact(answered); },
           [this](const std::string& text) { this->ApplyConfig(text); }}),
      config_exchange(
          this->poller,
          this->options.self.name,
          this->fleet_topic,
          this->log,
          [this](const std::string& text) { this->ApplyConfig(text); }),
      stream_origins(
          this->poller,
          this->options.self.incarnation,
          this->fleet_topic,
          this->upstreams,
          this->options.stream_lifetime,
          [this] {
            return this->upstream_discovery.DirectoryAge(this->loop.Now());
          },
          this->log,
          this->metrics),
      memory(MemoryAccount::ForVm(this->options.memory_mb)),
      tick_timer(std::make_unique<LoopTimer>(loop, [this] { this->OnTick(); })),
      drain_timer(
          std::make_unique<LoopTimer>(loop, [this] { this->OnDrainTick(); })),
      stop_timer(std::make_unique<LoopTimer>(loop, [this] {
        this->StopWhenResponsesAreSent();
      })) {
  this->log.SetQuiet(this->options.quiet);
  this->upstreams.SetRegions(this->options.domain_regions);
  if (this->options.hedge_share > 0.0) {
    this->context.hedge_policy = std::make_shared<HedgePolicy>(
        this->options.hedge_share, this->retry_budget);
  }
  this->context.runs_trials = [this](std::string_view suspect) {
    return this->fleet_topic.RunsTrials(suspect);
  };
  this->context.observe_end = [this](const UpstreamRecord& upstream) {
    this->end_detector.Observe(upstream);
  };
  this->context.stream_origins = &this->stream_origins;
  if (this->options.admission) {
    this->context.admission = &this->admission.emplace(this->context);
  }
  this->context.report_news = [this] { this->fleet_topic.ScheduleWrite(); };
  this->reservations.SetIsBudgetExhausted(
      [this](const std::string& team, std::uint64_t tokens) {
        return this->allowance_manager.IsBudgetExhausted(
            team, tokens, this->fleet_topic.ledger(),
            this->fleet_topic.MakeIsActive());
      });
}

GatewayDaemon::~GatewayDaemon() {
  // The loop outlives the daemon, but the connections of these handlers must
  // not outlive its poller.
  this->context.ended_handlers->clear();
}

auto GatewayDaemon::Start() -> bool {
  const DescriptorPlan plan = DescriptorPlan::ForProcess(
      this->options.max_descriptors, this->memory->limit());
  if (!this->StartCallerServer(plan) || !this->StartOtherServers(plan)) {
    return false;
  }
  this->log.WriteLine(DecisionLog::Severity::kNotable, "start",
                      {{"router", this->options.self.name},
                       {"incarnation", this->options.self.incarnation},
                       {"domain", this->options.self.domain}},
                      this->loop.Now());
  this->StartLogFollowers();
  this->OnTick();
  return true;
}

auto GatewayDaemon::StartCallerServer(const DescriptorPlan& plan) -> bool {
  return this->StartServer(
      {"client", this->options.self.client_address, plan.clients(), true,
       [this](const Http1RequestHead& head) { return this->HasRoute(head); }},
      [this](std::shared_ptr<Http1ServerSession> session,
             Http1Request request) {
        std::make_shared<RequestHandler>(this->context, std::move(session),
                                         std::move(request))
            ->Start();
      });
}

auto GatewayDaemon::StartOtherServers(const DescriptorPlan& plan) -> bool {
  return this->StartServer(
             {"entry", this->options.entry_address, plan.entry(), false,
              [](const Http1RequestHead& head) {
                return platform::ReadRouterAddressQuery(head.target)
                    .has_value();
              }},
             [this](const std::shared_ptr<Http1ServerSession>& session,
                    const Http1Request& request) {
               this->OnRouterAddressRequest(*session, request);
             }) &&
         this->StartServer(
             {"readiness", this->options.readiness_address, plan.readiness(),
              false,
              [](const Http1RequestHead& head) {
                return head.target == platform::kReadinessPath;
              }},
             [this](const std::shared_ptr<Http1ServerSession>& session,
                    const Http1Request& request) {
               this->OnReadinessRequest(*session, request);
             }) &&
         this->StartServer(
             {"peer", this->options.self.peer_address, plan.peers(), true, {}},
             [this](const std::shared_ptr<Http1ServerSession>& session,
                    const Http1Request& request) {
               this->OnPeerRequest(*session, request);
             }) &&
         (this->options.metrics_address.empty() ||
          this->StartServer(
              {"metrics",
               this->options.metrics_address,
               plan.metrics(),
               false,
               {}},
              [this](const std::shared_ptr<Http1ServerSession>& session,
                     const Http1Request& request) {
                this->OnMetricsRequest(*session, request);
              }));
}

auto GatewayDaemon::StartServer(Address address,
                                Http1ServerSession::OnRequest call) -> bool {
  Http1ServerOptions server_options;
  server_options.memory = this->memory;
  server_options.max_connections = address.max_connections;
  server_options.takes_bodies = address.takes_bodies;
  server_options.uses_reserve = !this->servers.empty();  // All but callers'.
  server_options.is_useful = std::move(address.is_useful);
  server_options.on_limit =
      [this, name = address.name](const Http1LimitEvent& event) {
        this->metrics.CountConnectionLimit(event.limit);
        this->log.WriteLine(DecisionLog::Severity::kNotable, "connection_limit",
                            {{"address", name},
                             {"limit", event.limit},
                             {"bytes", event.bytes},
                             {"connections", event.connections},
                             {"memory", this->memory->used()},
                             {"memory_limit", this->memory->limit()}},
                            this->loop.Now());
      };
  auto server = std::make_unique<Http1Server>(
      this->poller, this->limits, std::move(call), std::move(server_options));
  const bool opened = server->Listen(address.address);
  if (!opened) {
    this->log.WriteLine(DecisionLog::Severity::kNotable, "listen_failed",
                        {{"address", address.address}}, this->loop.Now());
  }
  this->servers.push_back(std::move(server));
  return opened;
}

auto GatewayDaemon::HasRoute(const Http1RequestHead& head) const -> bool {
  Http1Request request;
  request.method = head.method;
  request.target = head.target;
  request.fields = head.fields;
  return std::holds_alternative<Admission>(
      Admit(this->context.table.get(), platform::ReadRequestMetadata(request)));
}

//==============================================================================
// Endpoints

auto GatewayDaemon::OnRouterAddressRequest(Http1ServerSession& session,
                                           const Http1Request& request)
    -> void {
  const auto question = platform::ReadRouterAddressQuery(request.target);
  if (!question) {
    Respond(session, kNotFound, "", "");
    return;
  }
  const std::vector<std::string> addresses =
      this->fleet_topic.registry().AddressesFor(
          question->domain, this->RegionOf(*question),
          this->fleet_topic.last_read_at());
  if (addresses.empty()) {
    Respond(session, kUnavailable, "", "");
    return;
  }
  Respond(session, kOk, "application/json",
          platform::MakeRouterAddressResponse(addresses, kAddressLifetime));
}

auto GatewayDaemon::RegionOf(const platform::RouterAddressQuery& question) const
    -> std::string {
  const auto known = this->options.domain_regions.find(question.domain);
  return question.region.empty() && known != this->options.domain_regions.end()
             ? known->second
             : question.region;
}

auto GatewayDaemon::OnReadinessRequest(Http1ServerSession& session,
                                       const Http1Request& request) -> void {
  if (request.target != platform::kReadinessPath) {
    Respond(session, kNotFound, "", "");
    return;
  }
  Respond(session, this->ready() ? kOk : kUnavailable, "", "");
}

auto GatewayDaemon::OnPeerRequest(Http1ServerSession& session,
                                  const Http1Request& request) -> void {
  if (request.target == UpstreamDiscovery::kPath) {
    this->upstream_discovery.OnPeerRequest(session, request);
  } else if (request.target == IncreaseNotifier::kPath) {
    this->increase_notifier.OnPeerRequest(session, request);
  } else if (request.target == ConfigExchange::kPath) {
    this->config_exchange.OnPeerRequest(session, request);
  } else if (request.target == StreamOrigins::kNewsPath ||
             request.target == StreamOrigins::kAskPath ||
             request.target == StreamOrigins::kHistoryPath) {
    this->stream_origins.OnPeerRequest(session, request);
  } else {
    this->allowance_exchange.OnPeerRequest(session, request);
  }
}

auto GatewayDaemon::OnMetricsRequest(Http1ServerSession& session,
                                     const Http1Request& request) -> void {
  if (request.target == "/metrics") {
    Respond(session, kOk, "text/plain; version=0.0.4",
            this->metrics.ToPrometheus() + MemoryGauges(*this->memory));
  } else if (request.target == "/state") {
    Respond(session, kOk, "application/json", this->StateDump());
  } else {
    Respond(session, kNotFound, "", "");
  }
}

auto GatewayDaemon::ready() const -> bool {
  return this->context.table != nullptr &&
         this->evacuations.table().is_known() && !this->context.drain;
}

//==============================================================================
// The log service

auto GatewayDaemon::StartLogFollowers() -> void {
  this->UpdateConfigSource();
  this->fleet_topic.Start();
}

auto GatewayDaemon::UpdateConfigSource() -> void {
  const bool follows_log = this->context.table == nullptr ||
                           !this->evacuations.table().is_known() ||
                           this->upstream_discovery.reads_log() ||
                           !this->upstream_discovery.learns_evacuations();
  if (!follows_log) {
    this->config_follower.reset();
    return;
  }
  if (this->config_follower) {
    return;
  }
  TopicFollower::Callbacks calls;
  calls.on_record = [this](const KeyedRecord& record) {
    this->OnOperatorRecord(record);
  };
  calls.on_history_lost = [this] { this->evacuations.RestartListing(); };
  calls.on_listed = [this](const std::set<std::string>& /*keys*/) {
    this->evacuations.OnListed();
    if (!this->first_config.empty()) {
      this->ApplyConfig(std::exchange(this->first_config, {}));
    }
  };
  calls.on_contact = [this](bool answered) {
    this->OnContact(answered);
    this->evacuations.RecordContact(answered);
  };
  this->evacuations.StartReading();
  this->config_follower = std::make_unique<TopicFollower>(
      this->poller, this->options.log_address, this->log_era,
      TopicFollower::Settings{std::string(platform::kOperatorTopic),
                              kConfigWait, kConfigReadInterval, true},
      std::move(calls));
  this->config_follower->Start();
}

auto GatewayDaemon::OnOperatorRecord(const KeyedRecord& record) -> void {
  if (record.key != platform::kConfigKey) {
    this->evacuations.OnRecord(record);
  } else if (record.value && this->evacuations.table().is_known()) {
    this->ApplyConfig(*record.value);
  } else if (record.value) {
    // Without a configuration no request is sent, also not to an upstream whose
    // evacuation is listed after this record.
    this->first_config = *record.value;
  }
}

auto GatewayDaemon::ApplyConfig(const std::string& text) -> void {
  const Instant began_at = this->loop.Now();
  Findings findings;
  auto config = platform::ReadConfig(text, findings);
  if (!config) {
    this->log.WriteLine(DecisionLog::Severity::kNotable, "config_rejected",
                        {{"findings", findings.ToText()}}, this->loop.Now());
    return;
  }
  if (this->context.table &&
      config->version <= this->context.table->config().version) {
    if (config->version == this->context.table->config().version) {
      // Read again since this router has become a reader.
      this->upstream_discovery.SetConfig(
          config->version, std::make_shared<const std::string>(text));
    }
    return;
  }
  for (const TeamRule& team : config->teams) {
    if (team.prepaid_tokens) {
      this->allowance_manager.SetBudget(team.name, *team.prepaid_tokens);
    }
  }
  const bool closes = this->limits.closes_after_response;
  this->limits = config->limits;
  this->limits.closes_after_response = closes;
  this->log.WriteLine(DecisionLog::Severity::kNotable, "config",
                      {{"version", config->version},
                       {"routes", config->routes.size()},
                       {"teams", config->teams.size()},
                       {"bytes", text.size()},
                       {"idle_ms", this->limits.idle_timeout},
                       {"read_ms", this->loop.Now() - began_at}},
                      this->loop.Now());
  this->fleet_topic.SetConfigVersion(config->version);
  const auto shared_text = std::make_shared<const std::string>(text);
  this->upstream_discovery.SetConfig(config->version, shared_text);
  this->config_exchange.SetConfig(config->version, shared_text);
  this->context.table = std::make_shared<RouteTable>(std::move(*config));
  this->cold_upstreams.Update(this->loop.Now());
}

auto GatewayDaemon::OnContact(bool answered) -> void {
  const Instant now = this->loop.Now();
  if (!answered) {
    return;
  }
  const bool was_away =
      this->context.last_log_reply_at != Instant() &&
      now - this->context.last_log_reply_at >= kLogUnreachableAfter;
  this->context.last_log_reply_at = now;
  if (!this->context.is_log_reachable) {
    this->context.is_log_reachable = true;
    this->log.WriteLine(DecisionLog::Severity::kNotable, "log_regained", {},
                        now);
  }
  if (was_away) {
    this->upstreams.RecordLogRecovery(now);
    this->evacuations.RecordLogRecovery();
  }
}

auto GatewayDaemon::OnLogEra(std::optional<std::uint64_t> previous) -> void {
  if (!previous) {
    return;
  }
  this->metrics.CountLogRestore();
  this->log.WriteLine(DecisionLog::Severity::kNotable, "log_era",
                      {{"old", *previous}, {"new", this->log_era.number()}},
                      this->loop.Now());
  this->upstreams.RecordLogRecovery(this->loop.Now());
  this->evacuations.RecordLogRecovery();
  this->fleet_topic.OnLogRestored();
}

auto GatewayDaemon::OnShortage(const std::string& team) -> void {
  // A holder of the reserve takes tokens through the log, which become
  // spendable when the others know of them. Requests can't wait that long.
  if (this->fleet_topic.IsReserveHolder(team)) {
    this->fleet_topic.ScheduleWrite();
  }
  this->allowance_exchange.RequestTokens(team);
}

auto GatewayDaemon::OnTick() -> void {
  this->tick_timer->Start(kTickInterval);
  const Instant now = this->loop.Now();
  this->RecordLateness(now);
  this->upstreams.Expire(now);
  this->stream_origins.Update();
  this->evacuations.Update();
  this->cold_upstreams.Update(now);
  this->chooser.UpdatePaces(now);
  this->heap_trimmer.Update(*this->memory);
  this->upstream_limits.Update(this->fleet_topic.MakeLimitFleet(), now);
  this->context.routers = this->fleet_topic.CountActive();
  this->UpdateLoadShare(now);
  this->upstream_discovery.UpdatePlan();
  this->UpdateConfigSource();
  this->config_exchange.Update();
  if (!this->stopping_since &&
      now - this->surplus_returned_at >= kSurplusInterval) {
    this->surplus_returned_at = now;
    this->allowance_exchange.ReturnSurplus();
  }
  if (this->context.is_log_reachable &&
      now - this->context.last_log_reply_at >= kLogUnreachableAfter) {
    this->context.is_log_reachable = false;
    this->log.WriteLine(DecisionLog::Severity::kNotable, "log_lost",
                        {{"silent_ms", now - this->context.last_log_reply_at}},
                        now);
  }
}

auto GatewayDaemon::RecordLateness(Instant now) -> void {
  const Duration lateness = this->loop.TakeMaxLateness();
  this->metrics.RecordLoopLateness(lateness);
  if (lateness >= kLoggedLateness) {
    this->log.WriteLine(
        DecisionLog::Severity::kNotable, "loop_late",
        {{"late_ms", lateness}, {"open", this->context.open_requests.size()}},
        now);
  }
}

auto GatewayDaemon::UpdateLoadShare(Instant now) -> void {
  const double own_rate = this->context.request_rate.PerSecond(now);
  this->fleet_topic.SetRequestRate(own_rate);
  const double mean_rate = this->fleet_topic.registry().MeanRequestRate(
      this->fleet_topic.last_read_at());
  this->context.load_ratio = mean_rate > 0.0 ? own_rate / mean_rate : 1.0;
  const double before =
      std::exchange(this->context.close_fraction,
                    ConnectionCloseFraction(own_rate, mean_rate));
  if ((before > 0.0) != (this->context.close_fraction > 0.0)) {
    this->log.WriteLine(
        DecisionLog::Severity::kNotable, "load_share",
        {{"requests_s", static_cast<std::int64_t>(own_rate)},
         {"mean_s", static_cast<std::int64_t>(mean_rate)},
         {"closes", this->context.close_fraction > 0.0 ? 1 : 0}},
        now);
  }
}

auto GatewayDaemon::OnUpstreamEnded(const UpstreamProcess& upstream) -> void {
  const Instant now = this->loop.Now();
  this->log.WriteLine(DecisionLog::Severity::kNotable, "upstream_ended",
                      {{"upstream", upstream.id}}, now);
  this->quarantine.ConfirmEnd(upstream, now);
  this->context.report_news();
}

auto GatewayDaemon::OnUpstreamCold(const ColdUpstreams::Change& change)
    -> void {
  /** In the order of Reason. */
  constexpr std::array<std::string_view, 3> kNames = {
      "record", "evacuation_ended", "unreachable"};
  const Instant now = this->loop.Now();
  this->quarantine.DismissFailures(change.upstream, change.since, now);
  this->metrics.CountUpstreamNotice("cold");
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "upstream_cold",
      {{"upstream", change.upstream.id},
       {"domain", change.domain},
       {"reason", kNames[static_cast<std::size_t>(change.reason)]},
       {"ends_in_ms", change.ends_at - now},
       {"requests_s", change.per_second > 0.0
                          ? std::to_string(change.per_second)
                          : std::string("-")}},
      now);
}

auto GatewayDaemon::LogQuarantineChange(const CrashQuarantine::Change& change)
    -> void {
  /** In the order of Kind. */
  constexpr std::array<std::string_view, 5> kNames = {
      "quarantined", "adopted", "trial_failed", "released", "expired"};
  const std::string_view name = kNames[static_cast<std::size_t>(change.kind)];
  this->metrics.CountQuarantineChange(name);
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "crash_quarantine",
      {{"suspect", change.suspect},
       {"change", name},
       {"upstreams", change.upstreams},
       {"reporters", change.reporters},
       {"evidence_age_ms", change.evidence_age},
       {"ends_in_ms", change.ends_in},
       {"source", change.source.empty() ? std::string("-") : change.source}},
      this->loop.Now());
}

auto GatewayDaemon::LogWeighedEvidence(const CrashEvidence::Weighing& weighing)
    -> void {
  this->log.WriteLine(DecisionLog::Severity::kNotable, "crash_suspect",
                      {{"suspect", weighing.suspect},
                       {"counted", weighing.counted},
                       {"shared", weighing.shared},
                       {"unconfirmed", weighing.unconfirmed},
                       {"explained", weighing.explained},
                       {"domain_loss", weighing.of_domain_loss},
                       {"cleared", weighing.cleared}},
                      this->loop.Now());
}

//==============================================================================
// Shutdown

auto GatewayDaemon::Drain() -> void {
  if (this->context.drain) {
    return;
  }
  const Instant now = this->loop.Now();
  this->context.drain.emplace(now, this->options.grace_period);
  this->limits.closes_after_response = true;
  this->log.WriteLine(DecisionLog::Severity::kNotable, "drain",
                      {{"open", this->context.open_requests.size()}}, now);
  this->fleet_topic.AnnounceLeaving();
  this->stream_origins.BeginLeaving();
  this->drain_timer->Start(kDrainInterval);
}

auto GatewayDaemon::LogHangup() -> void {
  this->log.WriteLine(DecisionLog::Severity::kNotable, "hangup",
                      {{"settings", "unchanged until a new start"}},
                      this->loop.Now());
}

auto GatewayDaemon::OnDrainTick() -> void {
  const Instant now = this->loop.Now();
  const Duration passed = now - this->context.drain->started_at();
  if (passed >= kIdleKeepPeriod) {
    // Callers look up router addresses only when they have no open connection.
    this->servers.front()->CloseIdle(kIdleThreshold);
  }
  const bool idle = passed >= kMinDrain && this->context.open_requests.empty();
  const Duration service_left = this->context.drain->service_ends_at() - now;
  if (idle || service_left <= Duration(0)) {
    this->FinishDrain();
    return;
  }
  if (!this->context.returns_allowances &&
      now >= this->context.drain->returns_at()) {
    this->context.returns_allowances = true;
    this->ReturnAllowances([] {});
  }
  this->drain_timer->Start(std::min(kDrainInterval, service_left));
}

auto GatewayDaemon::ReturnAllowances(const std::function<void()>& on_done)
    -> void {
  if (this->fleet_topic.IsLogResponsive()) {
    this->fleet_topic.ReturnUnspent(on_done);
  } else {
    this->allowance_exchange.HandOverAll(on_done);
  }
}

auto GatewayDaemon::FinishDrain() -> void {
  if (this->stopping_since) {
    return;
  }
  this->stopping_since = this->loop.Now();
  this->context.is_stopping = true;
  const std::size_t unanswered = this->context.open_requests.size();
  const auto open = this->context.open_requests;  // Ending one removes it.
  for (RequestHandler* const handler : open) {
    handler->EndForShutdown();
  }
  for (const auto& server : this->servers) {
    server->StopListening(kIdleThreshold);
  }
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "stop",
      {{"open", unanswered}, {"left_out", this->log.dropped_lines()}},
      this->loop.Now());
  this->ReturnAllowances([this] { this->allowances_returned = true; });
  this->stop_timer->Start(kStopInterval);
}

auto GatewayDaemon::StopWhenResponsesAreSent() -> void {
  const Instant now = this->loop.Now();
  const Duration passed = now - *this->stopping_since;
  const bool is_done = this->context.open_requests.empty() &&
                       !this->servers.front()->HasUnsentResponses() &&
                       (this->allowances_returned || passed >= kReturnTimeout);
  if (passed < kMaxRefusePeriod && now < this->context.drain->exits_at() &&
      (passed < kMinRefusePeriod || !is_done)) {
    this->stop_timer->Start(kStopInterval);
    return;
  }
  if (this->options.on_stopped) {
    this->options.on_stopped();
  } else {
    this->loop.Stop();
  }
}

//==============================================================================

auto GatewayDaemon::StateDump() const -> std::string {
  return DumpState({this->options.self, this->context, this->fleet_topic,
                    this->upstreams.size(), this->poller.size()});
}

}  // namespace auburnloft::gateway

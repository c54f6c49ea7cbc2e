#include "router/router_daemon.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "al_core/text/digest.h"
#include "al_fleet/entries/entry_routers.h"
#include "al_router/state/state_dump.h"
#include "router/error_body.h"

namespace auburnloft {

namespace {

using nlohmann::json;

constexpr Duration kVmListInterval = std::chrono::seconds(1);

/** Interval of the load and cache polls. */
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr std::string_view kBearer = "Bearer ";

/** Returns the request headers that the router evaluates. */
auto CallerHeaders() -> std::vector<std::string> {
  return {"authorization",         "content-type",  "idempotency-key",
          "idempotency-issued-at", "last-event-id", "auburnloft-class"};
}

auto ToCallerRequest(const HttpRequest& request) -> CallerRequest {
  CallerRequest caller;
  caller.method = request.method;
  caller.path = request.path;
  caller.authorization = HeaderValue(request.headers, "authorization");
  caller.idempotency_key = HeaderValue(request.headers, "idempotency-key");
  caller.issued_at = HeaderValue(request.headers, "idempotency-issued-at");
  caller.last_event_id = HeaderValue(request.headers, "last-event-id");
  caller.request_class = HeaderValue(request.headers, "auburnloft-class");
  caller.content_type = HeaderValue(request.headers, "content-type");
  caller.body = request.body;
  return caller;
}

/** Returns the CPU time of this process, in seconds. */
auto CpuSeconds() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kSecondsPerMicrosecond = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kSecondsPerMicrosecond * static_cast<double>(usage.ru_utime.tv_usec +
                                                      usage.ru_stime.tv_usec);
}

/** Returns the resident memory of this process, in bytes. */
auto ResidentBytes() -> std::uint64_t {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

RouterDaemon::RouterDaemon(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      core(this->options.router),
      http(loop),
      server(loop,
             {this->options.router.vm.http_address, CallerHeaders(),
              this->options.max_body_bytes},
             [this](const Exchange& exchange) { this->OnRequest(exchange); }),
      peers(loop,
            [this](const wire::PeerMessage& message) {
              this->core.OnPeer(this->loop.Now(), message);
              this->ExecuteActions();
            }),
      log(http,
          this->options.platform_address,
          this->options.router.name.value()),
      vms(http,
          this->options.platform_address,
          this->options.router.name.value()),
      poller(
          http,
          [this](const UpstreamId& upstream, const LoadReport& report) {
            this->core.OnLoadReport(this->loop.Now(), upstream, report);
          },
          [this](const UpstreamPoller::CacheChange& change) {
            this->core.OnCacheEvent(change.upstream, change.cached,
                                    change.evicted);
          }) {}

auto RouterDaemon::Start() -> bool {
  this->server.SetErrorFormatter([](int status, std::string_view text) {
    const RefusalCode code = status == HttpStatusOf(RefusalCode::kTooLarge)
                                 ? RefusalCode::kTooLarge
                                 : RefusalCode::kBadRequest;
    return ErrorBodyOf(
        {code, ExecutionState::kNotExecuted, std::string(text), Duration{0}});
  });
  if (!this->server.Listen() ||
      !this->peers.Bind(this->options.router.vm.peer_address)) {
    return false;
  }
  this->loop.ScheduleEvery(RouterCore::kTickInterval,
                           [this] { this->OnTick(); });
  this->loop.ScheduleEvery(kVmListInterval, [this] { this->FetchVms(); });
  if (this->options.poll_upstreams) {
    this->loop.ScheduleEvery(kPollInterval, [this] {
      if (this->core.configuration() != nullptr) {
        this->poller.Poll(*this->core.configuration());
      }
    });
  }
  this->FetchVms();
  return true;
}

auto RouterDaemon::Drain() -> void {
  this->core.BeginDrain(this->loop.Now());
  this->ExecuteActions();
}

//==============================================================================
// Requests

auto RouterDaemon::OnRequest(const Exchange& exchange) -> void {
  if (!this->RespondLocally(exchange)) {
    this->OnUpstreamRequest(exchange);
  }
}

auto RouterDaemon::RespondLocally(const Exchange& exchange) -> bool {
  const HttpRequest& request = exchange->request();
  if (request.path == "/admin/drain") {
    this->OnAdminDrain(exchange);
    return true;
  }
  if (request.method != "GET") {
    return false;
  }
  if (request.path == "/v1/entries") {
    this->RespondEntries(exchange);
  } else if (request.path == "/healthz") {
    const bool ready =
        this->core.configuration() != nullptr && !this->core.IsDraining();
    exchange->Respond(ready ? 200 : 503, "application/json",
                      json{{"ready", ready}}.dump());
  } else if (request.path == "/metrics") {
    this->RespondMetrics(exchange);
  } else if (request.path == "/state") {
    exchange->Respond(200, "application/json",
                      DumpState(this->loop.Now(), this->core));
  } else {
    return false;
  }
  return true;
}

auto RouterDaemon::OnUpstreamRequest(const Exchange& exchange) -> void {
  const Configuration* const configuration = this->core.configuration();
  if (configuration == nullptr) {
    this->RespondRefusal(
        *exchange,
        {RefusalCode::kNotReady, ExecutionState::kNotExecuted,
         "this router has no configuration yet", std::chrono::seconds(1)});
    return;
  }
  const Instant now = this->loop.Now();
  std::optional<ValidatedRequest> validated = this->request_validator.Validate(
      now, *configuration, ToCallerRequest(exchange->request()));
  if (!validated) {
    this->RespondRefusal(*exchange, this->request_validator.last_refusal());
    return;
  }
  const RequestHandle handle = this->next_handle++;
  IncomingRequest incoming = validated->incoming;
  this->arrivals[handle] = now;
  this->relays[handle] = std::make_unique<RequestRelay>(
      this->http, exchange, std::move(*validated), handle,
      this->MakeRelayCallbacks(handle));
  this->core.OnRequest(now, handle, std::move(incoming));
  this->ExecuteActions();
}

auto RouterDaemon::MakeRelayCallbacks(RequestHandle handle)
    -> RequestRelay::Callbacks {
  RequestRelay::Callbacks callbacks;
  callbacks.on_done = [this](const UpstreamCompleted& done) {
    this->core.OnUpstreamCompleted(this->loop.Now(), done);
    this->ExecuteActions();
  };
  callbacks.on_failed = [this](const UpstreamFailed& failed) {
    this->core.OnUpstreamFailed(this->loop.Now(), failed);
    this->ExecuteActions();
  };
  callbacks.on_caller_gone = [this](const CallerDisconnected& gone) {
    this->core.OnCallerDisconnected(this->loop.Now(), gone);
    this->ExecuteActions();
  };
  callbacks.on_first_event = [this, handle] {
    this->first_event_latency.Record(this->loop.Now() - this->arrivals[handle]);
  };
  callbacks.on_closed = [this, handle] {
    this->loop.Post([this, handle] {
      const auto found = this->relays.find(handle);
      this->response_latency.Record(this->loop.Now() - this->arrivals[handle]);
      this->events_relayed += found->second->content_events();
      this->relays.erase(found);
      this->arrivals.erase(handle);
    });
  };
  return callbacks;
}

auto RouterDaemon::RespondRefusal(HttpExchange& exchange,
                                  const Refusal& refusal) -> void {
  exchange.Respond(HttpStatusOf(refusal.code), "application/json",
                   ErrorBodyOf(refusal), ErrorHeadersOf(refusal));
}

auto RouterDaemon::RespondEntries(const Exchange& exchange) -> void {
  const Configuration* const configuration = this->core.configuration();
  const Defaults defaults =
      configuration == nullptr ? Defaults{} : configuration->defaults;
  TeamId team;
  std::uint32_t count = defaults.entries.count;
  const std::string authorization =
      HeaderValue(exchange->request().headers, "authorization");
  if (configuration != nullptr && authorization.starts_with(kBearer)) {
    const Team* const found = configuration->FindTeamByKey(
        Sha256Hex(authorization.substr(kBearer.size())));
    team = found == nullptr ? TeamId() : found->id;
    const TeamOverrides* const exception = configuration->FindOverrides(team);
    count =
        exception == nullptr ? count : exception->entry_count.value_or(count);
  }
  json entries = json::array();
  for (const Vm& vm :
       SelectEntryRouters(team, this->core.membership(), count)) {
    entries.push_back(
        {{"address", vm.http_address}, {"failure_domain", vm.domain.value()}});
  }
  const auto hold =
      std::chrono::duration_cast<std::chrono::seconds>(defaults.entries.hold);
  exchange->Respond(
      200, "application/json",
      json{{"entries", entries}, {"hold_seconds", hold.count()}}.dump());
}

auto RouterDaemon::RespondMetrics(const Exchange& exchange) -> void {
  std::ostringstream out;
  out << "auburnloft_cpu_seconds_total " << CpuSeconds() << "\n"
      << "auburnloft_resident_bytes " << ResidentBytes() << "\n"
      << "auburnloft_peer_sent_bytes_total " << this->peers.bytes_sent() << "\n"
      << "auburnloft_peer_received_bytes_total " << this->peers.bytes_received()
      << "\n"
      << "auburnloft_peer_dropped_total " << this->peers.dropped() << "\n"
      << "auburnloft_pieces_relayed_total " << this->events_relayed << "\n"
      << "auburnloft_log_appends_total " << this->core.keepers().AppendCount()
      << "\n"
      << "auburnloft_outbox_entries " << this->core.outbox()->size() << "\n";
  if (const RequestManager* const request_manager =
          this->core.request_manager()) {
    const RequestCounters& counts = request_manager->counters();
    out << "auburnloft_requests_total " << counts.arrived << "\n"
        << "auburnloft_answered_total " << counts.completed << "\n"
        << "auburnloft_upstream_sends_total " << counts.upstream_sends << "\n"
        << "auburnloft_retries_total " << counts.retries << "\n"
        << "auburnloft_open_requests " << request_manager->open() << "\n";
    for (std::size_t i = 0; i < counts.refused.size(); ++i) {
      out << "auburnloft_refused_total{code=\""
          << ToText(static_cast<RefusalCode>(i)) << "\"} "
          << counts.refused.at(i) << "\n";
    }
  }
  out << this->first_event_latency.ToPrometheus(
             "auburnloft_first_piece_seconds", "")
      << this->response_latency.ToPrometheus("auburnloft_answer_seconds", "");
  exchange->Respond(200, "text/plain; version=0.0.4", out.str());
}

auto RouterDaemon::OnAdminDrain(const Exchange& exchange) -> void {
  const std::string authorization =
      HeaderValue(exchange->request().headers, "authorization");
  const bool allowed =
      !this->options.admin_key.empty() &&
      Sha256Hex(authorization) ==
          Sha256Hex(std::string(kBearer) + this->options.admin_key);
  if (!allowed || exchange->request().method != "POST") {
    this->RespondRefusal(
        *exchange, {RefusalCode::kUnauthorized, ExecutionState::kNotExecuted,
                    "draining needs POST and the admin key", Duration{0}});
    return;
  }
  exchange->Respond(200, "application/json", json{{"draining", true}}.dump());
  this->Drain();
}

//==============================================================================
// Actions

auto RouterDaemon::ExecuteActions() -> void {
  for (std::vector<Action> actions = this->core.TakeActions(); !actions.empty();
       actions = this->core.TakeActions()) {
    for (Action& action : actions) {
      std::visit([this](auto& item) { this->Execute(item); }, action);
    }
  }
}

auto RouterDaemon::Execute(SendPeerMessage& action) -> void {
  this->peers.Send(action.to, action.message);
}

auto RouterDaemon::Execute(AppendRecord& action) -> void {
  const LogTag tag = action.tag;
  this->log.Append(action.stream, std::move(action.bytes),
                   [this, tag](std::optional<LogOffset> offset) {
                     const Instant now = this->loop.Now();
                     if (offset) {
                       this->core.OnLogAppended(now, {tag, *offset});
                     } else {
                       this->core.OnLogFailed(now, {tag});
                     }
                     this->ExecuteActions();
                   });
}

auto RouterDaemon::Execute(const ReadRecords& action) -> void {
  const LogTag tag = action.tag;
  this->log.Read(action.stream, action.from,
                 [this, tag](std::optional<LogRecords> records) {
                   const Instant now = this->loop.Now();
                   if (records) {
                     records->tag = tag;
                     this->core.OnLogRecords(now, *records);
                   } else {
                     this->core.OnLogFailed(now, {tag});
                   }
                   this->ExecuteActions();
                 });
}

auto RouterDaemon::FindRelay(RequestHandle handle) -> RequestRelay* {
  const auto found = this->relays.find(handle);
  return found == this->relays.end() ? nullptr : found->second.get();
}

auto RouterDaemon::Execute(const SendUpstreamRequest& action) -> void {
  const Upstream* const upstream =
      this->core.configuration()->FindUpstream(action.upstream);
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Start(*upstream, action.attempt);
  }
}

auto RouterDaemon::Execute(const ResumeUpstreamStream& action) -> void {
  const Upstream* const upstream =
      this->core.configuration()->FindUpstream(action.upstream);
  RequestRelay* const relay = this->FindRelay(action.handle);
  if (relay == nullptr) {
    return;
  }
  if (upstream != nullptr) {
    relay->Resume(*upstream, action.attempt);
    return;
  }
  const RequestHandle handle = action.handle;
  const int attempt = action.attempt;
  this->loop.Post([this, handle, attempt] {
    UpstreamFailed failed;
    failed.handle = handle;
    failed.attempt = attempt;
    failed.sent = false;
    failed.text = "the upstream of the stream is gone";
    this->core.OnUpstreamFailed(this->loop.Now(), failed);
    this->ExecuteActions();
  });
}

auto RouterDaemon::Execute(const CancelUpstreamRequest& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Cancel();
  }
}

auto RouterDaemon::Execute(const RefuseRequest& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Refuse(action.refusal);
  }
}

auto RouterDaemon::Execute(const ReplayResponse& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Replay(action);
  }
}

auto RouterDaemon::Execute(const ReleaseResponse& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Release();
  }
}

//==============================================================================
// Timers

auto RouterDaemon::OnTick() -> void {
  const Instant now = this->loop.Now();
  this->core.Tick(now);
  this->ExecuteActions();
  this->state_change_log.LogChanges(this->core);
  if (this->core.IsDrained(now) && this->relays.empty()) {
    this->loop.Stop();
  }
}

auto RouterDaemon::FetchVms() -> void {
  this->vms.Fetch([this](const std::optional<VmList>& list) {
    if (list) {
      this->core.OnVmList(this->loop.Now(), *list);
      this->ExecuteActions();
    }
  });
}

}  // namespace auburnloft

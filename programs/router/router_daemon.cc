#include "router/router_daemon.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "al_core/text/digest.h"
#include "al_fleet/entries/entry_planner.h"
#include "al_router/state/state_dump.h"
#include "router/error_body.h"

namespace auburnloft {

namespace {

using nlohmann::json;

constexpr Duration kVmInterval = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr std::string_view kBearer = "Bearer ";

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

/** The processor time of this process so far, in seconds. */
auto ProcessorSeconds() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicro = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro * static_cast<double>(usage.ru_utime.tv_usec +
                                      usage.ru_stime.tv_usec);
}

/** The resident memory of this process, in bytes. */
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
              this->options.most_body},
             [this](const Exchange& exchange) { this->OnRequest(exchange); }),
      peers(loop,
            [this](const wire::PeerMessage& message) {
              this->core.OnPeer(this->loop.Now(), message);
              this->Pump();
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
                                    change.dropped);
          }) {}

auto RouterDaemon::Start() -> bool {
  this->server.SetErrorBody([](int status, std::string_view text) {
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
  this->loop.Every(RouterCore::kTickInterval, [this] { this->OnTick(); });
  this->loop.Every(kVmInterval, [this] { this->FetchVms(); });
  if (this->options.polls_upstreams) {
    this->loop.Every(kPollInterval, [this] {
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
  this->Pump();
}

//==============================================================================
// Requests

auto RouterDaemon::OnRequest(const Exchange& exchange) -> void {
  if (!this->OnQuery(exchange)) {
    this->OnWork(exchange);
  }
}

auto RouterDaemon::OnQuery(const Exchange& exchange) -> bool {
  const HttpRequest& request = exchange->request();
  if (request.path == "/admin/drain") {
    this->OnAdminDrain(exchange);
    return true;
  }
  if (request.method != "GET") {
    return false;
  }
  if (request.path == "/v1/entries") {
    this->TellEntries(exchange);
  } else if (request.path == "/healthz") {
    const bool ready =
        this->core.configuration() != nullptr && !this->core.IsDraining();
    exchange->Respond(ready ? 200 : 503, "application/json",
                      json{{"ready", ready}}.dump());
  } else if (request.path == "/metrics") {
    this->TellMetrics(exchange);
  } else if (request.path == "/state") {
    exchange->Respond(200, "application/json",
                      DumpState(this->loop.Now(), this->core));
  } else {
    return false;
  }
  return true;
}

auto RouterDaemon::OnWork(const Exchange& exchange) -> void {
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
      this->RelayEventsOf(handle));
  this->core.OnRequest(now, handle, std::move(incoming));
  this->Pump();
}

auto RouterDaemon::RelayEventsOf(RequestHandle handle) -> RequestRelay::Events {
  RequestRelay::Events events;
  events.on_done = [this](const UpstreamCompleted& done) {
    this->core.OnUpstreamCompleted(this->loop.Now(), done);
    this->Pump();
  };
  events.on_failed = [this](const UpstreamFailed& failed) {
    this->core.OnUpstreamFailed(this->loop.Now(), failed);
    this->Pump();
  };
  events.on_gone = [this](const CallerDisconnected& gone) {
    this->core.OnCallerDisconnected(this->loop.Now(), gone);
    this->Pump();
  };
  events.on_first_piece = [this, handle] {
    this->first_piece.Add(this->loop.Now() - this->arrivals[handle]);
  };
  events.on_closed = [this, handle] {
    this->loop.Post([this, handle] {
      const auto found = this->relays.find(handle);
      this->whole_answer.Add(this->loop.Now() - this->arrivals[handle]);
      this->pieces_relayed += found->second->pieces();
      this->relays.erase(found);
      this->arrivals.erase(handle);
    });
  };
  return events;
}

auto RouterDaemon::RespondRefusal(HttpExchange& exchange,
                                  const Refusal& refusal) -> void {
  exchange.Respond(HttpStatusOf(refusal.code), "application/json",
                   ErrorBodyOf(refusal), ErrorHeadersOf(refusal));
}

auto RouterDaemon::TellEntries(const Exchange& exchange) -> void {
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
  for (const Vm& vm : PlanEntries(team, this->core.membership(), count)) {
    entries.push_back(
        {{"address", vm.http_address}, {"failure_domain", vm.domain.value()}});
  }
  const auto hold =
      std::chrono::duration_cast<std::chrono::seconds>(defaults.entries.hold);
  exchange->Respond(
      200, "application/json",
      json{{"entries", entries}, {"hold_seconds", hold.count()}}.dump());
}

auto RouterDaemon::TellMetrics(const Exchange& exchange) -> void {
  std::ostringstream out;
  out << "auburnloft_cpu_seconds_total " << ProcessorSeconds() << "\n"
      << "auburnloft_resident_bytes " << ResidentBytes() << "\n"
      << "auburnloft_peer_sent_bytes_total " << this->peers.bytes_sent() << "\n"
      << "auburnloft_peer_received_bytes_total " << this->peers.bytes_received()
      << "\n"
      << "auburnloft_peer_dropped_total " << this->peers.dropped() << "\n"
      << "auburnloft_pieces_relayed_total " << this->pieces_relayed << "\n"
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
  out << this->first_piece.ToPrometheus("auburnloft_first_piece_seconds", "")
      << this->whole_answer.ToPrometheus("auburnloft_answer_seconds", "");
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

auto RouterDaemon::Pump() -> void {
  for (std::vector<Action> actions = this->core.TakeActions(); !actions.empty();
       actions = this->core.TakeActions()) {
    for (Action& action : actions) {
      std::visit([this](auto& item) { this->CarryOut(item); }, action);
    }
  }
}

auto RouterDaemon::CarryOut(SendPeerMessage& action) -> void {
  this->peers.Send(action.to, action.message);
}

auto RouterDaemon::CarryOut(AppendRecord& action) -> void {
  const LogTag tag = action.tag;
  this->log.Append(action.stream, std::move(action.bytes),
                   [this, tag](std::optional<LogOffset> offset) {
                     const Instant now = this->loop.Now();
                     if (offset) {
                       this->core.OnLogAppended(now, {tag, *offset});
                     } else {
                       this->core.OnLogFailed(now, {tag});
                     }
                     this->Pump();
                   });
}

auto RouterDaemon::CarryOut(const ReadRecords& action) -> void {
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
                   this->Pump();
                 });
}

auto RouterDaemon::FindRelay(RequestHandle handle) -> RequestRelay* {
  const auto found = this->relays.find(handle);
  return found == this->relays.end() ? nullptr : found->second.get();
}

auto RouterDaemon::CarryOut(const SendUpstreamRequest& action) -> void {
  const Upstream* const upstream =
      this->core.configuration()->FindUpstream(action.upstream);
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Start(*upstream, action.attempt);
  }
}

auto RouterDaemon::CarryOut(const ResumeUpstreamStream& action) -> void {
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
    this->Pump();
  });
}

auto RouterDaemon::CarryOut(const CancelUpstreamRequest& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Cancel();
  }
}

auto RouterDaemon::CarryOut(const RefuseRequest& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Refuse(action.refusal);
  }
}

auto RouterDaemon::CarryOut(const ReplayResponse& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Replay(action);
  }
}

auto RouterDaemon::CarryOut(const ReleaseResponse& action) -> void {
  if (RequestRelay* const relay = this->FindRelay(action.handle)) {
    relay->Release();
  }
}

//==============================================================================
// Time

auto RouterDaemon::OnTick() -> void {
  const Instant now = this->loop.Now();
  this->core.Tick(now);
  this->Pump();
  this->state_log.Observe(this->core);
  if (this->core.IsDrained(now) && this->relays.empty()) {
    this->loop.Stop();
  }
}

auto RouterDaemon::FetchVms() -> void {
  this->vms.Fetch([this](const std::optional<VmList>& list) {
    if (list) {
      this->core.OnVmList(this->loop.Now(), *list);
      this->Pump();
    }
  });
}

}  // namespace auburnloft

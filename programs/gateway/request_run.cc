#include "gateway/request_run.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/loop_timer.h"
#include "al_gateway/limits/attempt_timeouts.h"
#include "al_gateway/routing/admission.h"
#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kPaymentRequired = 402;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
constexpr int kFirstFailure = 500;
constexpr int kFirstRedirect = 300;

}  // namespace

RequestRun::RequestRun(GatewayContext& context,
                       std::shared_ptr<Http1ServerSession> session,
                       Http1Request request)
    : context(context),
      request(std::move(request)),
      facts(platform::ReadRequestFacts(this->request)),
      caller(std::make_shared<CallerAnswer>(std::move(session),
                                            this->facts.attempt_id)),
      table(context.table),
      arrived_at(context.loop.Now()),
      budget(context) {}

RequestRun::~RequestRun() = default;

auto RequestRun::Start() -> void {
  this->self = this->shared_from_this();
  ++this->context.open_requests;
  this->caller->SetCallbacks(
      [this] { this->OnCallerGone(); },
      [this] {
        if (this->attempt) {
          this->attempt->connection().PauseReading(false);
        }
      });
  this->Begin();
}

//==============================================================================
// Before the first send

auto RequestRun::Begin() -> void {
  const auto decided = Admit(this->table.get(), this->facts);
  if (const LocalResponse* const refusal =
          std::get_if<LocalResponse>(&decided)) {
    this->Refuse(refusal->status, refusal->why, refusal->retry_after);
    return;
  }
  this->route = std::get<Admission>(decided).route;
  this->team = std::get<Admission>(decided).team;
  if (this->route->kind == RouteKind::kStream &&
      this->context.stream_limit.count() > 0 &&
      MaxStreamDuration(this->facts) > this->context.stream_limit) {
    this->Refuse(kUnavailable, "shutting down", kUnavailableRetryAfter);
    return;
  }
  const Duration timeout =
      this->facts.timeout ? std::min(*this->facts.timeout, this->route->timeout)
                          : this->route->timeout;
  this->deadline = this->arrived_at + timeout;
  this->deadline_timer = std::make_unique<LoopTimer>(
      this->context.loop, [this] { this->OnDeadline(); });
  this->deadline_timer->Start(timeout);
  this->attempt_timer = std::make_unique<LoopTimer>(
      this->context.loop, [this] { this->OnAttemptTimeout(); });
  this->service = std::string(
      RouteTable::ChooseService(*this->route, this->context.random.Unit()));
  this->context.retries.RecordRequest(this->service, this->arrived_at);
  this->ReserveBudget();
}

auto RequestRun::ReserveBudget() -> void {
  if (!this->facts.generation || this->team == nullptr ||
      !this->team->prepaid_tokens) {
    this->Dispatch();
    return;
  }
  this->budget.Reserve(this->team->name,
                       this->facts.generation->max_total_tokens(),
                       AllowanceTimeout(*this->route),
                       [this](BudgetAnswer answer) { this->OnBudget(answer); });
}

auto RequestRun::OnBudget(BudgetAnswer answer) -> void {
  switch (answer) {
    case BudgetAnswer::kReserved:
      this->Dispatch();
      return;
    case BudgetAnswer::kSpent:
      this->Refuse(kPaymentRequired, "budget spent", Duration(0));
      return;
    case BudgetAnswer::kUnavailable:
      this->Refuse(kUnavailable, "no allowance",
                   AllowanceRetryAfter(
                       this->context.loop.Now() - this->context.log_contact_at,
                       this->TimeLeft()));
      return;
  }
}

//==============================================================================
// Sends

auto RequestRun::Dispatch() -> void {
  SendQuery query = this->MakeSendQuery();
  this->attempt = OpenAttempt(this->context, query);
  if (!this->attempt) {
    this->OnNoUpstream();
    return;
  }
  const UpstreamState& upstream = this->attempt->upstream();
  if (this->facts.generation) {
    this->context.chooser.RecordPrompt(*this->facts.generation, upstream,
                                       this->attempt->sent_at());
  }
  this->count.RecordSent();
  query.number = this->count.attempts();
  const std::string bytes = BytesFor(this->context, query, *this->attempt);
  this->tried.push_back(upstream.record().id);
  this->events.Resume();
  if (this->route->is_repeatable()) {
    this->attempt_timer->Start(FirstByteTimeout(*this->route));
  }
  this->attempt->connection().Start(bytes, this->request.method == "HEAD",
                                    this->MakeCallbacks());
}

auto RequestRun::MakeSendQuery() const -> SendQuery {
  return {this->request, this->facts,      *this->table,
          *this->route,  this->team,       this->service,
          this->tried,   this->TimeLeft(), this->events.last_id()};
}

auto RequestRun::OnNoUpstream() -> void {
  if (this->count.never_executed()) {
    this->Refuse(kUnavailable, "no upstream", kUnavailableRetryAfter);
  } else if (this->caller->has_started()) {
    this->BreakStream("no upstream to go on");
  } else {
    this->Refuse(kBadGateway, "no other upstream", Duration(0));
  }
}

auto RequestRun::MakeCallbacks() -> Http1ClientConnection::ExchangeCallbacks {
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.is_mine =
      [id = this->facts.attempt_id](const Http1ResponseHead& head) {
        const ResponseMetadata answer = platform::ReadAnswerFacts(head);
        return answer.attempt_id.empty() || answer.attempt_id == id;
      };
  callbacks.on_head = [this](const Http1ResponseHead& head) {
    this->attempt->SetHead(head);
    if (this->route->kind != RouteKind::kStream &&
        !this->attempt->answer().not_executed) {
      this->attempt->RecordFirstByte();
    }
  };
  callbacks.on_body = [this](const std::string& bytes) { this->OnBody(bytes); };
  callbacks.on_done = [this](Http1Outcome outcome) { this->OnDone(outcome); };
  return callbacks;
}

//==============================================================================
// Events of the attempt

auto RequestRun::OnBody(const std::string& bytes) -> void {
  const bool passes_events = this->route->kind == RouteKind::kStream &&
                             this->attempt->head().status < kFirstRedirect &&
                             !this->attempt->answer().not_executed &&
                             !this->attempt->answer().is_encoded;
  if (!passes_events) {
    this->attempt->AppendBody(bytes);
    return;
  }
  const std::string whole = this->events.Feed(bytes);
  if (this->events.has_gap()) {
    this->BreakStream("events are missing");
  } else if (!whole.empty()) {
    this->PassEventsOn(whole);
  }
}

auto RequestRun::PassEventsOn(std::string_view whole) -> void {
  this->attempt->RecordFirstByte();
  if (!this->caller->has_started()) {
    this->first_event_after = this->context.loop.Now() - this->arrived_at;
    this->context.metrics.AddFirstByte(this->first_event_after);
  }
  this->caller->PassEvents(this->attempt->head(), whole);
  if (this->route->resumable) {
    this->attempt_timer->Start(NextEventTimeout(*this->route));
  }
  if (this->caller->is_behind()) {
    this->attempt->connection().PauseReading(true);
  }
}

auto RequestRun::OnDone(Http1Outcome outcome) -> void {
  this->attempt_timer->Stop();
  if (outcome != Http1Outcome::kComplete) {
    this->OnFailedAttempt(outcome);
    return;
  }
  if (this->attempt->answer().not_executed) {
    this->OnNotRun();
    return;
  }
  if (this->attempt->answer().is_encoded) {
    this->OnFailedAttempt(Http1Outcome::kBroken);
    return;
  }
  this->OnWholeAnswer();
}

auto RequestRun::OnWholeAnswer() -> void {
  const int status = this->attempt->head().status;
  const bool failed = status >= kFirstFailure;
  const std::unique_ptr<UpstreamAttempt> finished = this->EndAttempt(
      failed ? UpstreamResult::kFailed : UpstreamResult::kSucceeded);
  if (this->caller->has_started() && status < kFirstRedirect) {
    this->FinishStream();
    return;
  }
  if (failed && this->route->kind == RouteKind::kIdempotent &&
      this->TryRunAgain("upstream failed")) {
    return;
  }
  if (this->caller->has_started()) {
    this->BreakStream("the stream was not resumed");
    return;
  }
  this->Deliver(*finished);
}

auto RequestRun::OnNotRun() -> void {
  this->count.RecordNotExecuted();
  this->EndAttempt(this->attempt->answer().is_replaced
                       ? UpstreamResult::kReplaced
                       : UpstreamResult::kNotExecuted);
  if (this->count.CanRetryElsewhere(this->TimeLeft()) &&
      this->context.retries.TryTake(this->service, this->context.routers,
                                    this->context.loop.Now())) {
    this->Dispatch();
    return;
  }
  if (this->caller->has_started()) {
    this->BreakStream("no upstream resumes the stream");
  } else if (this->count.never_executed()) {
    this->Refuse(kUnavailable, "upstream is full", kUnavailableRetryAfter);
  } else {
    this->Refuse(kBadGateway, "upstream is full after a failure", Duration(0));
  }
}

auto RequestRun::OnFailedAttempt(Http1Outcome outcome) -> void {
  if (outcome == Http1Outcome::kNotSent) {
    this->count.RecordNotSent();
    this->EndAttempt(UpstreamResult::kUnreachable);
    this->Dispatch();
    return;
  }
  const std::string_view why = outcome == Http1Outcome::kNoAnswer
                                   ? "no answer"
                                   : "the answer was broken off";
  this->EndAttempt(UpstreamResult::kFailed);
  if (this->TryRunAgain(why)) {
    return;
  }
  if (this->caller->has_started()) {
    this->BreakStream(why);
  } else {
    this->Refuse(kBadGateway, why, Duration(0));
  }
}

auto RequestRun::OnAttemptTimeout() -> void {
  if (!this->attempt) {
    return;
  }
  if (this->TakeAnotherRun()) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kFailed);
    this->Dispatch();
    return;
  }
  if (this->caller->has_started() || this->route->kind != RouteKind::kStream) {
    return;  // The answer may still come until the deadline.
  }
  const Duration silent_for =
      this->context.loop.Now() - this->attempt->sent_at();
  const Duration limit = FirstEventTimeout(*this->route);
  if (silent_for < limit) {
    this->attempt_timer->Start(limit - silent_for);
    return;
  }
  // Nothing more can be tried here, and the caller may send it again.
  this->attempt->Cancel();
  this->EndAttempt(UpstreamResult::kFailed);
  this->Refuse(kTimedOut, "upstreams stay silent", Duration(0));
}

//==============================================================================
// Decisions

auto RequestRun::TakeAnotherRun() -> bool {
  return this->count.CanExecuteAgain(*this->route, this->TimeLeft()) &&
         this->context.retries.TryTake(this->service, this->context.routers,
                                       this->context.loop.Now());
}

auto RequestRun::TryRunAgain(std::string_view why) -> bool {
  if (!this->TakeAnotherRun()) {
    return false;
  }
  this->context.log.Line(DecisionLog::Weight::kNotable, "run_again",
                         {{"id", this->facts.attempt_id},
                          {"why", why},
                          {"runs", this->count.executions()},
                          {"events", this->events.event_count()}},
                         this->context.loop.Now());
  this->Dispatch();
  return true;
}

auto RequestRun::TimeLeft() const -> Duration {
  return this->deadline - this->context.loop.Now();
}

//==============================================================================
// The end

auto RequestRun::OnDeadline() -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kFailed);
  }
  if (this->caller->has_started()) {
    this->BreakStream("timeout");
  } else if (this->count.never_executed()) {
    this->Refuse(kUnavailable, "timeout before it was sent",
                 kUnavailableRetryAfter);
  } else {
    this->Refuse(kTimedOut, "timeout", Duration(0));
  }
}

auto RequestRun::OnCallerGone() -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kNotExecuted);
  }
  this->End("caller_left", 0, "the caller closed the connection");
}

auto RequestRun::Deliver(const UpstreamAttempt& finished) -> void {
  const int status = finished.head().status;
  const std::string body = finished.body() + std::string(this->events.rest());
  this->context.metrics.AddFirstByte(this->context.loop.Now() -
                                     this->arrived_at);
  this->End(status < kFirstFailure ? "served" : "upstream_failed", status,
            "answer of the upstream");
  this->caller->Deliver(finished.head(), body);
}

auto RequestRun::FinishStream() -> void {
  this->End("served", kOk, "stream complete");
  this->caller->FinishStream(this->events.rest());
}

auto RequestRun::BreakStream(std::string_view why) -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kFailed);
  }
  this->End("broken_off", 0, why);
  this->caller->Break();
}

auto RequestRun::Refuse(int status, std::string_view why, Duration retry_after)
    -> void {
  this->End(status == kUnavailable ? "refused" : "failed", status, why);
  this->caller->Own({status, why, retry_after});
}

auto RequestRun::EndAttempt(UpstreamResult result)
    -> std::unique_ptr<UpstreamAttempt> {
  this->attempt->Finish(result, this->facts.attempt_id);
  return std::move(this->attempt);
}

auto RequestRun::End(std::string_view outcome, int status, std::string_view why)
    -> void {
  if (std::exchange(this->ended, true)) {
    return;
  }
  RequestReport report = this->MakeReport();
  report.outcome = outcome;
  report.status = status;
  report.why = why;
  this->budget.Settle(report.used_tokens);
  if (this->team != nullptr) {
    report.available_tokens = this->context.desk.Available(this->team->name);
  }
  this->context.metrics.CountRequest(outcome);
  LogRequest(this->context.log, report, this->context.loop.Now());
  this->deadline_timer.reset();
  this->attempt_timer.reset();
  --this->context.open_requests;
  this->caller->Release();
  // The run may be in use up the stack; it goes with the loop's next round.
  this->context.loop.Defer([kept = std::move(this->self)] {});
}

auto RequestRun::MakeReport() const -> RequestReport {
  RequestReport report;
  report.id = this->facts.attempt_id;
  report.attempts = this->count.attempts();
  report.executions = this->count.executions();
  report.events = this->events.event_count();
  report.reserved_tokens = this->budget.reserved();
  report.used_tokens = this->UsedTokens();
  report.first_event_after = this->first_event_after;
  report.took = this->context.loop.Now() - this->arrived_at;
  if (this->table) {
    report.config_version = this->table->config().version;
  }
  if (this->route != nullptr) {
    report.route = this->route->name;
  }
  if (this->team != nullptr) {
    report.team = this->team->name;
  }
  return report;
}

auto RequestRun::UsedTokens() const -> std::uint64_t {
  if (this->budget.reserved() == 0 || this->count.never_executed()) {
    return 0;
  }
  const ServiceRule* const rule = this->table->FindService(this->service);
  const std::uint64_t per_event =
      rule != nullptr && rule->engine ? rule->engine->tokens_per_event : 1;
  const std::uint64_t output =
      std::min(this->facts.generation->max_output_tokens,
               this->events.event_count() * per_event);
  return this->facts.generation->prompt_tokens + output;
}

}  // namespace auburnloft::gateway

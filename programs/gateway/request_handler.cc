#include "gateway/request_handler.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/loop_timer.h"
#include "al_gateway/limits/attempt_timeouts.h"
#include "al_gateway/routing/admission.h"
#include "gateway/admission_gate.h"
#include "gateway/request_end.h"
#include "gateway/response_faults.h"
#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kPaymentRequired = 402;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
constexpr int kFirstServerError = 500;
constexpr int kFirstRedirect = 300;

/** With admission, a request that so many upstreams refused waits before its
   last attempt (see ExecutionCounter), in place of one refusal after another.
 */
constexpr int kAttemptsBeforeWait = 2;

/** Reasons of refusals. */
constexpr std::string_view kShuttingDown = "shutting down";
constexpr std::string_view kCrashesUpstreams = "the request crashes upstreams";

}  // namespace

RequestHandler::RequestHandler(GatewayContext& context,
                               std::shared_ptr<Http1ServerSession> session,
                               Http1Request request)
    : context(context),
      request(std::move(request)),
      metadata(platform::ReadRequestMetadata(this->request)),
      response(std::make_shared<CallerResponse>(std::move(session),
                                                this->metadata.attempt_id)),
      table(context.table),
      arrived_at(context.loop.Now()),
      budget(context),
      upstream_notices(context),
      crash_guard(context, this->request, this->metadata),
      continuation(context, this->metadata),
      hedge(context,
            this->execution_counter,
            this->crash_guard,
            this->upstream_notices,
            this->tried_upstreams,
            {[this] { return this->MakeAttemptParameters(); },
             [this] { return this->MakeCallbacks(); },
             [this] { return this->attempt.get(); },
             [this] { this->EndOrSwitch(UpstreamResult::kCancelled); }}) {}

RequestHandler::~RequestHandler() = default;

auto RequestHandler::Start() -> void {
  this->self = this->shared_from_this();
  this->context.open_requests.insert(this);
  this->context.request_rate.Add(1, this->arrived_at);
  if (this->context.close_fraction > 0.0 &&
      this->context.random.UniformDouble() < this->context.close_fraction) {
    this->response->CloseAfterResponse();
  }
  this->response->SetCallbacks(
      [this] { this->OnCallerDisconnected(); },
      [this] {
        if (this->attempt) {
          this->attempt->connection().SetReadingPaused(false);
        }
      });
  this->AdmitRequest();
}

//==============================================================================
// Before the first attempt

auto RequestHandler::AdmitRequest() -> void {
  if (this->context.is_stopping) {
    this->Refuse(kUnavailable, kShuttingDown, kShutdownRetryAfter);
    return;
  }
  const auto decision = Admit(this->table.get(), this->metadata);
  if (const LocalResponse* const refusal =
          std::get_if<LocalResponse>(&decision)) {
    this->Refuse(refusal->status, refusal->why, refusal->retry_after);
    return;
  }
  this->route = std::get<Admission>(decision).route;
  this->team = std::get<Admission>(decision).team;
  if (this->team != nullptr) {
    this->crash_guard.SetTeam(this->team->name);
  }
  const Duration timeout =
      this->metadata.timeout
          ? std::min(*this->metadata.timeout, this->route->timeout)
          : this->route->timeout;
  if (this->context.drain && !this->MayFinishInDrain(timeout)) {
    this->Refuse(kUnavailable, kShuttingDown, kShutdownRetryAfter);
    return;
  }
  this->deadline = this->arrived_at + timeout;
  this->deadline_timer = std::make_unique<LoopTimer>(
      this->context.loop, [this] { this->OnDeadline(); });
  this->deadline_timer->Start(timeout);
  this->attempt_timer = std::make_unique<LoopTimer>(
      this->context.loop, [this] { this->OnAttemptTimeout(); });
  this->service = std::string(RouteTable::ChooseService(
      *this->route, this->context.random.UniformDouble()));
  this->context.retry_budget.RecordRequest(this->service, this->arrived_at);
  if (this->RefuseIfQuarantined()) {
    return;
  }
  this->AwaitVersion();
}

auto RequestHandler::AwaitVersion() -> void {
  this->continuation.Begin(
      *this->route, this->service,
      [this, kept = this->shared_from_this()](std::string_view why_not) {
        if (this->ended) {
          return;
        }
        this->service = this->continuation.service();
        if (why_not.empty()) {
          this->ReserveBudget();
        } else {
          // Coming back would not help: the stream's callers have to begin
          // anew.
          this->Refuse(kUnavailable, why_not, Duration(0));
        }
      });
}

auto RequestHandler::MayFinishInDrain(Duration timeout) const -> bool {
  if (this->NeedsTokens() && this->context.returns_allowances) {
    return false;
  }
  // How long a stream may last depends on its upstream: see OpenAttempt().
  return this->route->kind == RouteKind::kStream ||
         this->context.drain->HasTimeFor(timeout, this->arrived_at);
}

auto RequestHandler::NeedsTokens() const -> bool {
  return this->metadata.generation && this->team != nullptr &&
         this->team->prepaid_tokens;
}

auto RequestHandler::ReserveBudget() -> void {
  if (!this->NeedsTokens()) {
    this->AwaitAdmission();
    return;
  }
  this->budget.Reserve(
      this->team->name, this->metadata.generation->max_total_tokens(),
      AllowanceTimeout(*this->route),
      [this](ReservationResult result) { this->OnReservation(result); });
}

auto RequestHandler::OnReservation(ReservationResult result) -> void {
  switch (result) {
    case ReservationResult::kReserved:
      this->AwaitAdmission();
      return;
    case ReservationResult::kBudgetExhausted:
      this->Refuse(kPaymentRequired, "budget spent", Duration(0));
      return;
    case ReservationResult::kUnavailable:
      this->Refuse(kUnavailable, "no allowance",
                   AllowanceRetryAfter(this->context.loop.Now() -
                                           this->context.last_log_reply_at,
                                       this->RemainingTime()));
      return;
  }
}

auto RequestHandler::AwaitAdmission() -> void {
  if (this->context.admission == nullptr) {
    this->Dispatch();
    return;
  }
  this->context.admission->Ask(
      this, this->MakeAttemptParameters(), this->arrived_at,
      [this](const AdmissionDecision& decision) {
        if (decision.action == AdmissionDecision::Action::kBegin) {
          this->Dispatch();
        } else {
          this->Refuse(kUnavailable, decision.reason, decision.retry_after);
        }
      });
}

//==============================================================================
// Attempts

auto RequestHandler::Dispatch() -> void {
  const CrashQuarantine::Decision decision = this->crash_guard.Check();
  if (!decision.is_allowed) {
    this->GiveUp(kBadGateway, kCrashesUpstreams, decision.retry_after);
    return;
  }
  AttemptParameters parameters = this->MakeAttemptParameters();
  this->attempt = OpenAttempt(this->context, parameters);
  if (!this->attempt) {
    this->OnNoUpstream();
    return;
  }
  const UpstreamState& upstream = this->attempt->upstream();
  if (this->metadata.generation) {
    this->context.chooser.RecordPrompt(*this->metadata.generation, upstream,
                                       this->attempt->sent_at());
  }
  if (decision.is_trial) {
    this->crash_guard.BeginTrial(decision.suspect, *this->attempt);
  }
  this->execution_counter.RecordSent();
  parameters.attempt_number = this->execution_counter.attempts();
  const std::string bytes =
      SerializeForAttempt(this->context, parameters, *this->attempt);
  this->tried_upstreams.push_back(upstream.record().id);
  this->event_splitter.Resume();
  this->pending_events.clear();
  if (this->route->is_repeatable()) {
    this->attempt_timer->Start(FirstByteTimeout(*this->route));
  }
  this->hedge.OnSent();
  this->attempt->connection().Start(bytes, this->request.method == "HEAD",
                                    this->MakeCallbacks());
}

auto RequestHandler::MakeAttemptParameters() const -> AttemptParameters {
  return {this->request,
          this->metadata,
          *this->table,
          *this->route,
          this->team,
          this->service,
          this->tried_upstreams,
          this->RemainingTime(),
          this->event_splitter.last_id(),
          this->continuation.version(),
          !this->execution_counter.never_executed()};
}

auto RequestHandler::OnNoUpstream() -> void {
  if (this->execution_counter.never_executed()) {
    if (this->context.drain) {
      this->Refuse(kUnavailable, kShuttingDown, kShutdownRetryAfter);
    } else if (!this->TryWaitAgain()) {
      this->Refuse(kUnavailable, "no upstream",
                   this->upstream_notices.RetryAfter(this->service));
    }
  } else if (this->response->has_started()) {
    this->AbortStream("no upstream to go on");
  } else {
    this->Refuse(kBadGateway, "no other upstream", Duration(0));
  }
}

auto RequestHandler::TryWaitAgain() -> bool {
  if (this->context.admission == nullptr ||
      !this->execution_counter.never_executed() ||
      !this->execution_counter.CanRetryElsewhere(this->RemainingTime()) ||
      !this->context.admission->AskAgain(this)) {
    return false;
  }
  if (this->execution_counter.attempts() > 0 &&
      !this->context.retry_budget.TryTake(this->service, this->context.routers,
                                          this->context.loop.Now())) {
    this->context.admission->End(this);
    return false;
  }
  this->tried_upstreams.clear();
  return true;
}

auto RequestHandler::MakeCallbacks()
    -> Http1ClientConnection::ExchangeCallbacks {
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.owner_of_response = MakeOwnerCheck(this->metadata.attempt_id);
  callbacks.on_head = [this](const Http1ResponseHead& head) {
    this->attempt->SetHead(head);
    this->upstream_notices.Record(*this->attempt, this->metadata.attempt_id);
    if (this->route->kind != RouteKind::kStream &&
        !this->attempt->response_metadata().not_executed) {
      this->RecordFirstByte();
    }
  };
  callbacks.on_body = [this](const std::string& bytes) { this->OnBody(bytes); };
  callbacks.on_done = [this](Http1Outcome outcome) {
    this->OnExchangeDone(outcome);
  };
  return callbacks;
}

//==============================================================================
// Events of the current attempt

auto RequestHandler::OnBody(const std::string& bytes) -> void {
  if (!this->PassesEvents()) {
    if (!this->attempt->AppendBody(bytes)) {
      this->RejectResponse("the body is too long");
    }
    return;
  }
  if (!this->attempt->response_metadata().is_sealed) {
    this->RejectResponse("the seal is missing");
    return;
  }
  if (!this->attempt->has_begun() &&
      !this->continuation.MayForward(*this->attempt)) {
    this->RejectResponse("another version of the upstream");
    return;
  }
  const std::uint64_t events_before = this->event_splitter.event_count();
  this->pending_events += this->event_splitter.Feed(bytes);
  if (this->event_splitter.has_gap()) {
    this->AbortStream("events are missing");
    return;
  }
  if (this->event_splitter.event_count() > events_before) {
    if (!this->attempt->has_begun()) {
      this->continuation.RecordFirstEvent(*this->attempt);
    }
    this->attempt->RecordTokens(
        (this->event_splitter.event_count() - events_before) *
        TokensPerEvent(*this->table, this->service));
    this->ForwardEvents(std::exchange(this->pending_events, {}));
  }
  if (const std::string_view fault =
          FaultOfEvents(this->event_splitter, this->pending_events.size());
      !fault.empty()) {
    this->RejectResponse(fault);
  }
}

auto RequestHandler::PassesEvents() const -> bool {
  return this->route->kind == RouteKind::kStream && this->attempt->HasEvents();
}

auto RequestHandler::ForwardEvents(std::string_view whole_events) -> void {
  this->RecordFirstByte();
  if (!this->response->has_started()) {
    this->hedge.OnAnswered();
    this->time_to_first_event = this->context.loop.Now() - this->arrived_at;
    this->context.metrics.RecordTimeToFirstByte(this->time_to_first_event);
  }
  this->response->ForwardEvents(this->attempt->head(), whole_events);
  if (this->route->resumable) {
    this->attempt_timer->Start(NextEventTimeout(*this->route));
  }
  if (this->response->is_backlogged()) {
    this->attempt->connection().SetReadingPaused(true);
  }
}

auto RequestHandler::RecordFirstByte() -> void {
  if (this->attempt->RecordFirstByte() &&
      this->attempt->head().status < kFirstRedirect) {
    this->crash_guard.RecordBegin();
    if (this->context.admission != nullptr) {
      this->context.admission->RecordFirstByte(this);
    }
  }
}

auto RequestHandler::RejectResponse(std::string_view why) -> void {
  this->attempt->LogRejected(this->metadata.attempt_id, why);
  this->attempt_timer->Stop();
  this->attempt->Cancel();
  this->OnFailedAttempt(Http1Outcome::kBroken);
}

auto RequestHandler::OnExchangeDone(Http1Outcome outcome) -> void {
  this->attempt_timer->Stop();
  if (outcome != Http1Outcome::kComplete) {
    if (outcome != Http1Outcome::kNotSent) {
      this->RecordCrashEvidence();
    }
    this->OnFailedAttempt(outcome);
    return;
  }
  if (this->attempt->response_metadata().not_executed) {
    this->OnNotExecuted();
    return;
  }
  if (this->attempt->response_metadata().is_encoded) {
    this->OnFailedAttempt(Http1Outcome::kBroken);
    return;
  }
  const Http1ResponseHead& head = this->attempt->head();
  this->response_end = head.ends_with_connection ? "close" : "framing";
  if (head.status < kFirstRedirect &&
      !this->attempt->response_metadata().is_sealed) {
    this->RejectResponse("the seal is missing");
    return;
  }
  if (this->PassesEvents() &&
      IsStreamBrokenOff(head, this->event_splitter,
                        this->response->has_started())) {
    this->RecordCrashEvidence();
    this->RejectResponse("the stream ends early");
    return;
  }
  this->OnCompleteResponse();
}

auto RequestHandler::OnCompleteResponse() -> void {
  this->crash_guard.RecordAnswer();
  const int status = this->attempt->head().status;
  const bool failed = status >= kFirstServerError;
  const bool is_stream = this->PassesEvents() && status != kNoContent;
  if (this->hedge.ReplacesAnswer(status)) {
    this->EndOrSwitch(UpstreamResult::kFailed);
    return;
  }
  this->hedge.OnAnswered();
  const std::unique_ptr<UpstreamAttempt> finished = this->EndAttempt(
      failed ? UpstreamResult::kFailed : UpstreamResult::kSucceeded);
  if (this->response->has_started() && is_stream) {
    this->FinishStream();
    return;
  }
  if (failed && this->route->kind == RouteKind::kIdempotent &&
      this->TryRetry("upstream failed")) {
    return;
  }
  if (this->response->has_started()) {
    this->AbortStream("the stream was not resumed");
    return;
  }
  if (!this->hedge.MayForward(status)) {
    this->Refuse(kBadGateway, "refused after another attempt", Duration(0));
    return;
  }
  this->ForwardResponse(*finished);
}

auto RequestHandler::OnNotExecuted() -> void {
  this->execution_counter.RecordNotExecuted();
  this->crash_guard.RecordNotExecuted();
  if (this->context.admission != nullptr &&
      !this->attempt->response_metadata().is_replaced) {
    this->context.admission->RecordFull(this);
  }
  this->hedge.RecordRefusal();
  if (this->EndOrSwitch(this->attempt->response_metadata().is_replaced
                            ? UpstreamResult::kReplaced
                            : UpstreamResult::kNotExecuted)) {
    return;
  }
  if (this->execution_counter.attempts() >= kAttemptsBeforeWait &&
      this->TryWaitAgain()) {
    return;
  }
  if (this->execution_counter.CanRetryElsewhere(this->RemainingTime()) &&
      this->context.retry_budget.TryTake(this->service, this->context.routers,
                                         this->context.loop.Now())) {
    this->Dispatch();
    return;
  }
  if (this->response->has_started()) {
    this->AbortStream("no upstream resumes the stream");
  } else if (this->execution_counter.never_executed()) {
    this->Refuse(kUnavailable, "upstream is full",
                 this->upstream_notices.RetryAfter(this->service));
  } else {
    this->Refuse(kBadGateway, "upstream is full after a failure", Duration(0));
  }
}

auto RequestHandler::OnFailedAttempt(Http1Outcome outcome) -> void {
  if (outcome == Http1Outcome::kNotSent) {
    this->execution_counter.RecordNotSent();
    this->crash_guard.RecordNotExecuted();
    if (!this->EndOrSwitch(UpstreamResult::kUnreachable)) {
      this->Dispatch();
    }
    return;
  }
  const std::string_view why = outcome == Http1Outcome::kNoResponse
                                   ? "no answer"
                                   : "the answer was broken off";
  if (this->EndOrSwitch(UpstreamResult::kFailed) || this->TryRetry(why)) {
    return;
  }
  this->GiveUp(kBadGateway, why, Duration(0));
}

auto RequestHandler::RecordCrashEvidence() -> void {
  this->crash_guard.RecordFailure(
      *this->attempt,
      this->attempt->has_begun() || this->event_splitter.has_event());
}

auto RequestHandler::OnAttemptTimeout() -> void {
  if (!this->attempt) {
    return;
  }
  if (this->hedge.is_running() || this->TryTakeRetry()) {
    this->attempt->Cancel();
    if (!this->EndOrSwitch(UpstreamResult::kFailed)) {
      this->Dispatch();
    }
    return;
  }
  if (this->response->has_started() ||
      this->route->kind != RouteKind::kStream) {
    return;  // The response may still arrive before the deadline.
  }
  const Duration silent_for =
      this->context.loop.Now() - this->attempt->sent_at();
  const Duration limit = FirstEventTimeout(*this->route);
  if (silent_for < limit) {
    this->attempt_timer->Start(limit - silent_for);
    return;
  }
  // No retry is possible here, but the caller may send the request again.
  this->attempt->Cancel();
  this->EndAttempt(UpstreamResult::kFailed);
  this->Refuse(kTimedOut, "upstreams stay silent", Duration(0));
}

auto RequestHandler::EndOrSwitch(UpstreamResult result) -> bool {
  this->EndAttempt(result);
  if (!this->hedge.is_running()) {
    return false;
  }
  this->attempt = this->hedge.Take();
  this->event_splitter.Resume();
  this->pending_events.clear();
  this->attempt_timer->Start(FirstByteTimeout(*this->route));
  this->hedge.Replay();
  return true;
}

//==============================================================================
// Decisions

auto RequestHandler::RefuseIfQuarantined() -> bool {
  const CrashQuarantine::Decision decision = this->crash_guard.Check();
  if (!decision.is_allowed) {
    this->GiveUp(kBadGateway, kCrashesUpstreams, decision.retry_after);
  }
  return !decision.is_allowed;
}

auto RequestHandler::TryTakeRetry() -> bool {
  return this->execution_counter.CanExecuteAgain(*this->route,
                                                 this->RemainingTime()) &&
         this->crash_guard.MayRetry() &&
         HasUpstream(this->context, this->MakeAttemptParameters()) &&
         this->context.retry_budget.TryTake(
             this->service, this->context.routers, this->context.loop.Now());
}

auto RequestHandler::TryRetry(std::string_view why) -> bool {
  if (!this->TryTakeRetry()) {
    return false;
  }
  this->context.log.WriteLine(DecisionLog::Severity::kNotable, "run_again",
                              {{"id", this->metadata.attempt_id},
                               {"why", why},
                               {"runs", this->execution_counter.executions()},
                               {"events", this->event_splitter.event_count()}},
                              this->context.loop.Now());
  this->Dispatch();
  return true;
}

auto RequestHandler::RemainingTime() const -> Duration {
  return this->deadline - this->context.loop.Now();
}

//==============================================================================
// Completion

auto RequestHandler::OnDeadline() -> void {
  this->EndUnanswered("timeout", kUnavailableRetryAfter);
}

auto RequestHandler::EndForShutdown() -> void {
  this->EndUnanswered(kShuttingDown, kShutdownRetryAfter);
}

auto RequestHandler::EndUnanswered(std::string_view why, Duration retry_after)
    -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kFailed);
  }
  this->GiveUp(kTimedOut, why, retry_after);
}

auto RequestHandler::GiveUp(int status,
                            std::string_view why,
                            Duration retry_after) -> void {
  if (this->response->has_started()) {
    this->AbortStream(why);
  } else if (this->execution_counter.never_executed()) {
    this->Refuse(kUnavailable, why, retry_after);
  } else {
    this->Refuse(status, why, Duration(0));
  }
}

auto RequestHandler::OnCallerDisconnected() -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kNotExecuted);
  }
  this->Finish("caller_left", 0, "the caller closed the connection");
}

auto RequestHandler::ForwardResponse(const UpstreamAttempt& finished) -> void {
  const int status = finished.head().status;
  const std::string body = finished.body() + this->pending_events +
                           std::string(this->event_splitter.rest());
  this->context.metrics.RecordTimeToFirstByte(this->context.loop.Now() -
                                              this->arrived_at);
  this->Finish(status < kFirstServerError ? "served" : "upstream_failed",
               status, "answer of the upstream");
  this->response->ForwardResponse(finished.head(), body);
}

auto RequestHandler::FinishStream() -> void {
  this->Finish("served", kOk, "stream complete");
  this->response->FinishStream(this->pending_events +
                               std::string(this->event_splitter.rest()));
}

auto RequestHandler::AbortStream(std::string_view why) -> void {
  if (this->attempt) {
    this->attempt->Cancel();
    this->EndAttempt(UpstreamResult::kFailed);
  }
  this->Finish("broken_off", 0, why);
  this->response->Abort();
}

auto RequestHandler::Refuse(int status,
                            std::string_view why,
                            Duration retry_after) -> void {
  this->Finish(status == kUnavailable ? "refused" : "failed", status, why);
  this->response->SendLocalResponse({status, why, retry_after});
}

auto RequestHandler::EndAttempt(UpstreamResult result)
    -> std::unique_ptr<UpstreamAttempt> {
  this->continuation.RecordEnd(*this->attempt);
  this->attempt->Finish(result, this->metadata.attempt_id);
  return std::move(this->attempt);
}

auto RequestHandler::Finish(std::string_view outcome,
                            int status,
                            std::string_view why) -> void {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->hedge.Cancel();
  ReportEnd(this->context,
            {this->metadata, this->table.get(), this->route, this->team,
             this->service, this->execution_counter, this->event_splitter,
             this->response_end, this->time_to_first_event, this->arrived_at},
            this->budget, outcome, status, why);
  this->deadline_timer.reset();
  this->attempt_timer.reset();
  if (this->context.admission != nullptr) {
    this->context.admission->End(this);
  }
  this->context.open_requests.erase(this);
  this->response->Release();
  // Callers up the stack may still use this object, so the event loop releases
  // it in its next iteration.
  const auto ended_handlers = this->context.ended_handlers;
  ended_handlers->push_back(std::move(this->self));
  this->context.loop.Post([ended_handlers] { ended_handlers->clear(); });
}

}  // namespace auburnloft::gateway

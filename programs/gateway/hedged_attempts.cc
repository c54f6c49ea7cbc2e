#include "gateway/hedged_attempts.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/loop_timer.h"
#include "al_gateway/hedging/hedge_policy.h"
#include "al_gateway/limits/execution_counter.h"
#include "gateway/crash_guard.h"
#include "gateway/upstream_attempt.h"
#include "gateway/upstream_dispatch.h"
#include "gateway/upstream_notices.h"

namespace auburnloft::gateway {

namespace {

constexpr int kFirstRedirect = 300;
constexpr int kFirstError = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/** Returns the ids of the upstreams that get no second attempt: those already
   tried, and those that take few requests now, as they are limited or cold. */
auto UpstreamsToExclude(const GatewayContext& context,
                        const AttemptParameters& parameters)
    -> std::vector<std::string> {
  std::vector<std::string> excluded(parameters.tried_upstreams.begin(),
                                    parameters.tried_upstreams.end());
  for (const UpstreamDirectory::State& upstream :
       context.upstreams.UpstreamsOfService(parameters.service)) {
    if (upstream->is_limited() || upstream->is_suspect() ||
        upstream->record().warm_up_left > Duration(0)) {
      excluded.push_back(upstream->record().id);
    }
  }
  return excluded;
}

auto FindCandidate(GatewayContext& context, const AttemptParameters& parameters)
    -> std::optional<HedgePolicy::Candidate> {
  const Instant now = context.loop.Now();
  const auto choice = FindUpstream(context, parameters);
  if (!choice) {
    return std::nullopt;
  }
  const UpstreamState& upstream = *choice->upstream;
  return HedgePolicy::Candidate{choice->expected + upstream.ExcessLatency(now),
                                upstream.open_requests(),
                                upstream.record().slots};
}

}  // namespace

HedgedAttempts::HedgedAttempts(GatewayContext& context,
                               ExecutionCounter& execution_counter,
                               CrashGuard& crash_guard,
                               UpstreamNotices& upstream_notices,
                               std::vector<std::string>& tried_upstreams,
                               Host host)
    : context(context),
      execution_counter(execution_counter),
      crash_guard(crash_guard),
      upstream_notices(upstream_notices),
      tried_upstreams(tried_upstreams),
      host(std::move(host)) {}

HedgedAttempts::~HedgedAttempts() = default;

//==============================================================================
// Commands

auto HedgedAttempts::OnSent() -> void {
  this->timer.reset();
  if (this->context.hedge_policy == nullptr || !this->first_upstream.empty()) {
    return;
  }
  const AttemptParameters parameters = this->host.parameters();
  const auto late_after = this->context.hedge_policy->BeginRequest(
      parameters.route, parameters.service, this->context.loop.Now());
  this->first_upstream = this->host.current()->upstream().record().id;
  if (late_after) {
    this->delay = *late_after;
    this->timer = std::make_unique<LoopTimer>(this->context.loop,
                                              [this] { this->OnLate(); });
    this->timer->Start(this->delay);
  }
}

auto HedgedAttempts::OnAnswered() -> void {
  if (this->context.hedge_policy == nullptr ||
      std::exchange(this->has_answered, true)) {
    return;
  }
  const UpstreamAttempt& current = *this->host.current();
  if (current.upstream().record().id == this->first_upstream &&
      current.head().status < kFirstError) {
    const Instant now = this->context.loop.Now();
    this->context.hedge_policy->RecordLatency(this->host.parameters().route,
                                              now - current.sent_at(), now);
  }
  this->timer.reset();
  if (this->is_running()) {
    this->attempt->Cancel();
    this->End(UpstreamResult::kCancelled, "lost", "the first has answered");
  }
}

auto HedgedAttempts::RecordRefusal() -> void {
  if (this->context.hedge_policy != nullptr) {
    this->context.hedge_policy->RecordRefusal(this->host.parameters().service,
                                              this->context.loop.Now());
  }
}

auto HedgedAttempts::Take() -> std::unique_ptr<UpstreamAttempt> {
  this->callbacks = this->host.callbacks();
  const AttemptParameters parameters = this->host.parameters();
  if (parameters.metadata.generation) {
    this->context.chooser.RecordPrompt(*parameters.metadata.generation,
                                       this->attempt->upstream(),
                                       this->attempt->sent_at());
  }
  return std::move(this->attempt);
}

auto HedgedAttempts::Replay() -> void {
  if (this->head) {
    this->callbacks->on_head(*this->head);
  }
  if (!this->received.empty()) {
    this->callbacks->on_body(std::exchange(this->received, {}));
  }
  // Only a whole response is replayed to its end; its body cannot end the
  // attempt before, as it is within the limit of the handler.
  if (this->outcome) {
    this->callbacks->on_done(*this->outcome);
  }
}

auto HedgedAttempts::Cancel() -> void {
  this->timer.reset();
  if (this->is_running()) {
    this->attempt->Cancel();
    this->End(UpstreamResult::kCancelled, "lost", "the request has ended");
  }
}

//==============================================================================
// Queries

auto HedgedAttempts::ReplacesAnswer(int status) const -> bool {
  return this->is_running() && status >= kFirstError;
}

auto HedgedAttempts::MayForward(int status) const -> bool {
  const bool is_refusal = status == kRequestTimeout || status == kMisdirected ||
                          status == kTooManyRequests || status == kUnavailable;
  return !this->was_sent || !is_refusal ||
         this->execution_counter.executions() <= 1;
}

//==============================================================================
// The second attempt

auto HedgedAttempts::OnLate() -> void {
  const UpstreamAttempt* const current = this->host.current();
  if (current == nullptr) {
    return;
  }
  AttemptParameters parameters = this->host.parameters();
  const std::vector<std::string> excluded =
      UpstreamsToExclude(this->context, parameters);
  parameters.tried_upstreams = excluded;
  const HedgeDecision decision = this->Decide(parameters, *current);
  if (decision == HedgeDecision::kSend) {
    this->attempt = OpenAttempt(this->context, parameters);
  }
  this->context.metrics.CountHedge(NameOf(decision));
  this->context.log.WriteLine(
      DecisionLog::Severity::kRoutine, "hedge",
      {{"id", parameters.metadata.attempt_id},
       {"delay_ms", this->delay},
       {"upstream", this->attempt ? this->attempt->upstream().record().id
                                  : std::string("-")},
       {"why", NameOf(decision)},
       {"time_left_ms", parameters.time_left}},
      this->context.loop.Now());
  if (this->attempt) {
    this->Send(parameters);
  }
}

auto HedgedAttempts::Decide(const AttemptParameters& parameters,
                            const UpstreamAttempt& current) -> HedgeDecision {
  const Instant now = this->context.loop.Now();
  return this->context.hedge_policy->Decide(
      {parameters.route, parameters.service,
       this->execution_counter.executions(), current.has_begun(),
       !this->crash_guard.MayRetry(), this->context.drain.has_value(),
       now - current.sent_at(), parameters.time_left,
       FindCandidate(this->context, parameters), this->context.routers},
      now);
}

auto HedgedAttempts::Send(AttemptParameters& parameters) -> void {
  this->was_sent = true;
  this->tried_upstreams.push_back(this->attempt->upstream().record().id);
  this->execution_counter.RecordSent();
  parameters.attempt_number = this->execution_counter.attempts();
  const std::string bytes =
      SerializeForAttempt(this->context, parameters, *this->attempt);
  this->attempt->connection().Start(bytes, parameters.request.method == "HEAD",
                                    this->MakeCallbacks());
}

auto HedgedAttempts::MakeCallbacks()
    -> Http1ClientConnection::ExchangeCallbacks {
  Http1ClientConnection::ExchangeCallbacks own;
  own.owner_of_response =
      MakeOwnerCheck(this->host.parameters().metadata.attempt_id);
  own.on_head = [this](const Http1ResponseHead& head) { this->OnHead(head); };
  own.on_body = [this](const std::string& bytes) { this->OnBody(bytes); };
  own.on_done = [this](Http1Outcome outcome) { this->OnDone(outcome); };
  return own;
}

auto HedgedAttempts::OnHead(const Http1ResponseHead& head) -> void {
  if (this->callbacks) {
    this->callbacks->on_head(head);
    return;
  }
  this->head = head;
  this->attempt->SetHead(head);
  this->upstream_notices.Record(*this->attempt,
                                this->host.parameters().metadata.attempt_id);
}

auto HedgedAttempts::OnBody(const std::string& bytes) -> void {
  if (this->callbacks) {
    this->callbacks->on_body(bytes);
    return;
  }
  this->received += bytes;
  const bool has_events =
      this->host.parameters().route.kind == RouteKind::kStream &&
      this->attempt->HasEvents();
  if (!has_events) {
    if (this->received.size() > UpstreamAttempt::kMaxBufferedBody) {
      this->attempt->Cancel();
      this->End(UpstreamResult::kFailed, "failed", "the body is too long");
    }
    return;
  }
  static_cast<void>(this->splitter.Feed(bytes));
  const bool is_sealed = this->attempt->response_metadata().is_sealed;
  if (!is_sealed || this->splitter.is_too_long() ||
      this->received.size() > EventSplitter::kMaxRepeatedBytes) {
    this->attempt->Cancel();
    this->End(UpstreamResult::kFailed, "failed", "no valid event");
  } else if (this->splitter.has_event()) {
    this->Win();
  }
}

auto HedgedAttempts::OnDone(Http1Outcome outcome) -> void {
  if (this->callbacks) {
    this->callbacks->on_done(outcome);
    return;
  }
  if (outcome == Http1Outcome::kNotSent) {
    this->execution_counter.RecordNotSent();
    this->End(UpstreamResult::kUnreachable, "failed", "unreachable");
  } else if (outcome != Http1Outcome::kComplete) {
    this->crash_guard.RecordFailure(*this->attempt, false);
    this->End(UpstreamResult::kFailed, "failed", "no whole answer");
  } else if (this->attempt->response_metadata().not_executed) {
    this->execution_counter.RecordNotExecuted();
    this->RecordRefusal();
    this->End(this->attempt->response_metadata().is_replaced
                  ? UpstreamResult::kReplaced
                  : UpstreamResult::kNotExecuted,
              "failed", "not executed");
  } else if (!this->IsAnswer()) {
    this->End(UpstreamResult::kFailed, "failed", "no valid answer");
  } else {
    this->outcome = outcome;
    this->Win();
  }
}

auto HedgedAttempts::IsAnswer() const -> bool {
  const int status = this->attempt->head().status;
  const ResponseMetadata& metadata = this->attempt->response_metadata();
  const bool is_empty_stream =
      this->host.parameters().route.kind == RouteKind::kStream &&
      this->attempt->HasEvents();
  return status < kFirstError && !metadata.is_encoded && !is_empty_stream &&
         (status >= kFirstRedirect || metadata.is_sealed);
}

auto HedgedAttempts::Win() -> void {
  const Instant now = this->context.loop.Now();
  this->context.metrics.CountHedge("won");
  this->LogEnd("hedge_won", "answered first");
  if (UpstreamAttempt* const current = this->host.current()) {
    current->RecordLoss();
    this->context.hedge_policy->RecordLatency(this->host.parameters().route,
                                              now - current->sent_at(), now);
    current->Cancel();
  }
  this->host.on_won();
}

auto HedgedAttempts::End(UpstreamResult result,
                         std::string_view counter,
                         std::string_view why) -> void {
  this->context.metrics.CountHedge(counter);
  this->LogEnd("hedge_lost", why);
  this->attempt->Finish(result, this->host.parameters().metadata.attempt_id);
  this->attempt.reset();
}

auto HedgedAttempts::LogEnd(std::string_view event, std::string_view why)
    -> void {
  const Instant now = this->context.loop.Now();
  this->context.log.WriteLine(
      DecisionLog::Severity::kRoutine, event,
      {{"id", this->host.parameters().metadata.attempt_id},
       {"upstream", this->attempt->upstream().record().id},
       {"after_ms", now - this->attempt->sent_at()},
       {"why", why}},
      now);
}

}  // namespace auburnloft::gateway

#include "gateway/crash_guard.h"

#include <utility>

#include "al_gateway/quarantine/crash_suspects.h"
#include "gateway/upstream_attempt.h"

namespace auburnloft::gateway {

namespace {

/** A request that an intermediary takes for an upstream that has ended is
   broken off sooner; one that the next process there runs is not. */
constexpr Duration kMinExecution = std::chrono::milliseconds(10);

auto Join(const std::vector<std::string>& items) -> std::string {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

}  // namespace

CrashGuard::CrashGuard(GatewayContext& context,
                       const Http1Request& request,
                       const RequestMetadata& metadata)
    : context(context), request(request), metadata(metadata) {}

//==============================================================================
// Commands

auto CrashGuard::Check() -> CrashQuarantine::Decision {
  const Instant now = this->context.loop.Now();
  this->context.quarantine.Update(now);
  CrashQuarantine::Decision decision = this->context.quarantine.Check(
      this->Suspects(this->context.quarantine.keeps_whole_requests()),
      this->context.runs_trials, now);
  if (!decision.is_allowed) {
    this->context.log.WriteLine(DecisionLog::Severity::kNotable,
                                "quarantine_refused",
                                {{"id", this->metadata.attempt_id},
                                 {"suspect", decision.suspect},
                                 {"retry_after_ms", decision.retry_after}},
                                now);
  }
  return decision;
}

auto CrashGuard::BeginTrial(const std::string& suspect,
                            const UpstreamAttempt& attempt) -> void {
  const Instant now = this->context.loop.Now();
  this->trial_of = suspect;
  this->context.quarantine.BeginTrial(suspect, now);
  this->context.report_news();
  this->context.metrics.CountQuarantineChange("trial");
  this->context.log.WriteLine(DecisionLog::Severity::kNotable,
                              "quarantine_trial",
                              {{"id", this->metadata.attempt_id},
                               {"suspect", suspect},
                               {"upstream", attempt.upstream().record().id}},
                              now);
}

auto CrashGuard::RecordBegin() -> void {
  if (this->metadata.generation) {
    this->context.quarantine.RecordSuccess(this->SharedParts(),
                                           this->context.loop.Now());
  }
}

auto CrashGuard::RecordAnswer() -> void {
  if (this->context.quarantine.awaits_success()) {
    const std::vector<std::string> whole_request{this->WholeRequest()};
    this->context.quarantine.RecordSuccess(whole_request,
                                           this->context.loop.Now());
  }
}

auto CrashGuard::RecordFailure(const UpstreamAttempt& attempt, bool has_begun)
    -> void {
  const Instant now = this->context.loop.Now();
  const UpstreamRecord& upstream = attempt.upstream().record();
  if (now - attempt.sent_at() < kMinExecution &&
      this->context.quarantine.HadEnded(upstream.process(),
                                        attempt.sent_at())) {
    return;
  }
  const bool was_cold =
      this->context.cold_upstreams.WasColdAt(upstream.process(), now);
  const std::vector<std::string> suspects =
      has_begun ? std::vector<std::string>{this->WholeRequest()}
                : this->Suspects(true);
  this->has_failed = true;
  this->context.log.WriteLine(DecisionLog::Severity::kNotable, "crash_evidence",
                              {{"id", this->metadata.attempt_id},
                               {"upstream", upstream.id},
                               {"after_ms", now - attempt.sent_at()},
                               {"open", attempt.upstream().open_requests()},
                               {"cold", was_cold ? 1 : 0},
                               {"suspects", Join(suspects)}},
                              now);
  if (was_cold) {
    // A cold upstream ends under requests that it would serve warm.
    this->context.observe_end(upstream);
    return;
  }
  this->context.quarantine.RecordFailure(
      upstream.process(), suspects, attempt.sent_at(), now, upstream.domain);
  this->context.observe_end(upstream);
}

auto CrashGuard::RecordNotExecuted() -> void {
  if (!this->trial_of.empty()) {
    this->context.quarantine.CancelTrial(
        std::exchange(this->trial_of, std::string()), this->context.loop.Now());
  }
}

//==============================================================================
// Queries

auto CrashGuard::MayRetry() const -> bool {
  return this->context.quarantine.MayRetry(this->Suspects(this->has_failed));
}

auto CrashGuard::SharedParts() const -> std::vector<std::string> {
  return this->metadata.generation
             ? SharedPartsOf(this->metadata.generation->parts)
             : std::vector<std::string>();
}

auto CrashGuard::Suspects(bool with_whole_request) const
    -> std::vector<std::string> {
  std::vector<std::string> suspects = this->SharedParts();
  if (with_whole_request) {
    suspects.push_back(this->WholeRequest());
  }
  return suspects;
}

auto CrashGuard::WholeRequest() const -> std::string {
  return WholeRequestOf({this->team, this->metadata.host, this->request.method,
                         this->request.target, this->request.body});
}

}  // namespace auburnloft::gateway

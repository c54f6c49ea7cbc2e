#include "gateway/crash_guard.h"

#include "al_gateway/quarantine/crash_suspects.h"
#include "gateway/upstream_attempt.h"

namespace auburnloft::gateway {

namespace {

/** An engine needs at least one step after the prompt, some 16 ms, before it
   begins to answer. A connection that ends sooner was closed by the upstream
   while it was idle. */
constexpr Duration kMinTimeToFirstToken = std::chrono::milliseconds(10);

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
      this->SharedParts(), this->context.runs_trials, now);
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
  this->context.quarantine.BeginTrial(suspect, now);
  this->context.metrics.CountQuarantineChange("trial");
  this->context.log.WriteLine(DecisionLog::Severity::kNotable,
                              "quarantine_trial",
                              {{"id", this->metadata.attempt_id},
                               {"suspect", suspect},
                               {"upstream", attempt.upstream().record().id}},
                              now);
}

auto CrashGuard::RecordSuccess() -> void {
  if (this->metadata.generation) {
    this->context.quarantine.RecordSuccess(this->SharedParts(),
                                           this->context.loop.Now());
  }
}

auto CrashGuard::RecordFailure(const UpstreamAttempt& attempt) -> void {
  const Instant now = this->context.loop.Now();
  const UpstreamRecord& upstream = attempt.upstream().record();
  const std::vector<std::string> parts = this->SharedParts();
  const bool counts = this->metadata.generation && !attempt.has_begun() &&
                      now - attempt.sent_at() >= kMinTimeToFirstToken;
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "crash_evidence",
      {{"id", this->metadata.attempt_id},
       {"upstream", upstream.id},
       {"after_ms", now - attempt.sent_at()},
       {"open", attempt.upstream().open_requests()},
       {"counts", counts ? 1 : 0},
       {"request", this->WholeRequest()},
       {"parts", parts.empty() ? std::string("-") : Join(parts)}},
      now);
  if (!counts) {
    return;
  }
  this->context.quarantine.RecordFailure(
      upstream.id + "@" + std::to_string(upstream.started_at_ms), parts, now);
  this->context.report_news();
}

//==============================================================================
// Queries

auto CrashGuard::MayRetry() const -> bool {
  return this->context.quarantine.MayRetry(this->SharedParts());
}

auto CrashGuard::SharedParts() const -> std::vector<std::string> {
  return this->metadata.generation
             ? SharedPartsOf(this->metadata.generation->parts)
             : std::vector<std::string>();
}

auto CrashGuard::WholeRequest() const -> std::string {
  return WholeRequestOf({this->team, this->metadata.host, this->request.method,
                         this->request.target, this->request.body});
}

}  // namespace auburnloft::gateway

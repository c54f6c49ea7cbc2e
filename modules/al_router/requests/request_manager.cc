#include "al_router/requests/request_manager.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace auburnloft {

namespace {

/** Maximum wait of an at-most-once request for its claim: enough for several
 * commits of a slow log service. */
constexpr Duration kClaimTimeout = std::chrono::seconds(3);

/** Maximum number of times that an interrupted stream is resumed. */
constexpr int kMaxResumptions = 3;

/** Time after which callers may retry, by kind of refusal. */
constexpr Duration kRetryAfterBudget = std::chrono::seconds(1);
constexpr Duration kRetryAfterBusy = std::chrono::seconds(2);
constexpr Duration kRetryAfterLedger = std::chrono::seconds(3);

/** Maximum size of a response body that is stored for repeats of an
 * at-most-once request.
 */
constexpr std::size_t kMaxStoredBodyBytes = 4096;

}  // namespace

RequestManager::RequestManager(IncarnationId self,
                               PartitionMap partitions,
                               ActionQueue& actions,
                               BudgetCoordinator& budget,
                               EntryOutbox& outbox,
                               WitnessManager& witness,
                               UpstreamPool& pool)
    : self(std::move(self)),
      partitions(partitions),
      actions(actions),
      budget(budget),
      outbox(outbox),
      witness(witness),
      pool(pool),
      retry_budget(RetrySettings{}.budget_ratio) {}

auto RequestManager::SetRetry(const RetrySettings& settings) -> void {
  this->retry = settings;
  this->retry_budget.SetRatio(settings.budget_ratio);
}

//==============================================================================
// Arrival and tokens

auto RequestManager::OnRequest(Instant now,
                               RequestHandle handle,
                               IncomingRequest incoming) -> void {
  assert(!this->requests.contains(handle));
  ++this->request_counters.arrived;
  OpenRequest& request = this->requests[handle];
  request.incoming = std::move(incoming);
  request.run =
      ExecutionId(this->self.value() + "/" + std::to_string(this->next_run++));
  this->handle_by_run_id[request.run.value()] = handle;
  request.deadline = now + request.incoming.request_class.deadline;
  const Instant tokens_deadline =
      now + request.incoming.request_class.queue_limit;
  switch (this->budget.Reserve(now, handle, request.incoming.team,
                               request.incoming.upper, tokens_deadline)) {
    case BudgetCoordinator::ReserveResult::kReserved:
      this->OnTokens(now, handle, request);
      break;
    case BudgetCoordinator::ReserveResult::kWaiting:
      ++this->request_counters.waited_for_tokens;
      break;
    case BudgetCoordinator::ReserveResult::kRefused:
      this->Refuse(now, handle,
                   {RefusalCode::kBudgetExhausted, ExecutionState::kNotExecuted,
                    "the budget of team \"" + request.incoming.team.value() +
                        "\" does not cover the request",
                    kRetryAfterBudget});
      break;
  }
}

auto RequestManager::OnTokens(Instant now,
                              RequestHandle handle,
                              OpenRequest& request) -> void {
  if (request.incoming.at_most_once) {
    this->SubmitClaim(now, request);
  } else {
    this->Enqueue(now, handle, request);
  }
}

//==============================================================================
// Claims

auto RequestManager::SubmitClaim(Instant now, OpenRequest& request) -> void {
  request.stage = Stage::kWaitingClaim;
  request.stage_deadline = now + kClaimTimeout;
  wire::LedgerEntry entry;
  entry.set_entry_id("claim/" + request.run.value());
  wire::Claim& claim = *entry.mutable_claim();
  claim.set_team(request.incoming.team.value());
  claim.set_request_key(request.incoming.key.value());
  claim.set_holder(this->self.value());
  claim.set_run_id(request.run.value());
  claim.set_issued_at_ms(request.incoming.issued_at_ms);
  this->outbox.Add(now, this->partitions.PartitionOf(request.incoming.team),
                   std::move(entry), Urgency::kImmediate);
}

auto RequestManager::OnVerdict(Instant now,
                               const wire::LedgerEntry& entry,
                               const wire::EntryVerdict& verdict) -> void {
  if (entry.has_claim()) {
    this->OnClaimVerdict(now, entry.claim(), verdict);
  }
}

auto RequestManager::OnClaimVerdict(Instant now,
                                    const wire::Claim& claim,
                                    const wire::EntryVerdict& verdict) -> void {
  const auto handle = this->handle_by_run_id.find(claim.run_id());
  const bool granted = verdict.verdict() == wire::VERDICT_VALID ||
                       verdict.verdict() == wire::VERDICT_REPEATED;
  if (handle == this->handle_by_run_id.end()) {
    if (granted) {
      // The request was already refused as not executed because this verdict
      // came too late. Releases its key.
      OpenRequest ended;
      ended.incoming.team = TeamId(claim.team());
      ended.incoming.key = RequestKey(claim.request_key());
      ended.run = ExecutionId(claim.run_id());
      this->SubmitOutcome(now, ended, wire::OUTCOME_NOT_RUN, nullptr);
    }
    return;
  }
  OpenRequest& request = this->requests.at(handle->second);
  if (request.stage != Stage::kWaitingClaim) {
    return;
  }
  if (granted) {
    this->Enqueue(now, handle->second, request);
  } else {
    this->OnClaimRefused(now, handle->second, verdict);
  }
}

auto RequestManager::OnClaimRefused(Instant now,
                                    RequestHandle handle,
                                    const wire::EntryVerdict& verdict) -> void {
  const wire::ClaimState& current = verdict.claim();
  if (verdict.verdict() == wire::VERDICT_TOO_OLD) {
    this->Refuse(
        now, handle,
        {RefusalCode::kKeyExpired, ExecutionState::kUnknown,
         "the request was issued before the horizon of remembered keys",
         Duration{0}});
    return;
  }
  if (current.state() == wire::OUTCOME_RAN) {
    ++this->request_counters.replayed;
    this->actions.Push(ReplayResponse{handle, current.http_status(),
                                      current.content_type(), current.body()});
    this->Close(now, handle, 0);
    return;
  }
  if (current.state() == wire::OUTCOME_UNKNOWN) {
    this->Refuse(now, handle,
                 {RefusalCode::kOutcomeUnknown, ExecutionState::kUnknown,
                  "an earlier run of this request may have taken effect; an "
                  "operator must resolve it",
                  Duration{0}});
    return;
  }
  this->Refuse(now, handle,
               {RefusalCode::kInProgress, ExecutionState::kUnknown,
                "another run of this request is under way", kRetryAfterLedger});
}

//==============================================================================
// Upstreams

auto RequestManager::Enqueue(Instant now,
                             RequestHandle handle,
                             OpenRequest& request) -> void {
  request.stage = Stage::kQueued;
  const RequestClass& request_class = request.incoming.request_class;
  request.stage_deadline =
      std::min(request.deadline, now + request_class.queue_limit);
  const Duration wait =
      this->queue.ExpectedWait(now, request_class.latency_class);
  if (wait == Duration{0} && this->TryDispatch(now, handle)) {
    return;
  }
  if (wait > request_class.queue_limit) {
    this->Refuse(now, handle,
                 {RefusalCode::kNoUpstream, ExecutionStateOf(request),
                  "all upstreams are busy for longer than class \"" +
                      request_class.name + "\" waits",
                  kRetryAfterBusy});
    return;
  }
  this->queue.Add(handle, request_class.latency_class, now,
                  request.stage_deadline);
}

auto RequestManager::TryDispatch(Instant now, RequestHandle handle) -> bool {
  OpenRequest& request = this->requests.at(handle);
  if (request.incoming.resume && request.attempt == 0) {
    this->ResumeCallerStream(handle, request);
    return true;
  }
  UpstreamQuery query;
  query.model = request.incoming.model;
  query.service = request.incoming.service;
  query.latency_class = request.incoming.request_class.latency_class;
  query.prefix = request.incoming.prefix;
  query.excluded = &request.excluded;
  const std::optional<UpstreamId> upstream = this->pool.TryAcquire(now, query);
  if (!upstream) {
    return false;
  }
  if (request.attempt == 0) {
    this->retry_budget.RecordRequest();
  }
  ++this->request_counters.upstream_sends;
  request.stage = Stage::kRunning;
  request.upstream = *upstream;
  ++request.attempt;
  this->actions.Push(
      SendUpstreamRequest{handle, *upstream, request.attempt,
                          request.incoming.request_class.priority});
  return true;
}

auto RequestManager::ResumeCallerStream(RequestHandle handle,
                                        OpenRequest& request) -> void {
  this->retry_budget.RecordRequest();
  ++this->request_counters.resumptions;
  ++this->request_counters.upstream_sends;
  request.stage = Stage::kRunning;
  request.upstream = request.incoming.resume->upstream;
  request.attempt = 1;
  this->pool.Acquire(request.upstream,
                     request.incoming.request_class.latency_class);
  this->actions.Push(
      ResumeUpstreamStream{handle, request.upstream, request.attempt});
}

auto RequestManager::FindRunning(RequestHandle handle, int attempt)
    -> OpenRequest* {
  const auto found = this->requests.find(handle);
  const bool is_current = found != this->requests.end() &&
                          found->second.stage == Stage::kRunning &&
                          found->second.attempt == attempt;
  return is_current ? &found->second : nullptr;
}

auto RequestManager::OnDone(Instant now, const UpstreamCompleted& done)
    -> void {
  OpenRequest* const request = this->FindRunning(done.handle, done.attempt);
  if (request == nullptr) {
    return;
  }
  this->pool.RecordSuccess(request->upstream);
  ++this->request_counters.completed;
  std::vector<wire::LedgerEntry> copies;
  if (request->incoming.at_most_once) {
    copies.push_back(
        this->SubmitOutcome(now, *request, wire::OUTCOME_RAN, &done));
  }
  this->ReleaseUpstream(*request);
  const std::optional<wire::LedgerEntry> bill = this->budget.Settle(
      now,
      {request->incoming.team, request->incoming.key, request->run,
       request->incoming.request_class.name, request->incoming.issued_at_ms,
       request->incoming.upper, done.spent});
  if (bill) {
    copies.push_back(*bill);
  }
  this->handle_by_run_id.erase(request->run.value());
  this->requests.erase(done.handle);
  this->witness.ReleaseAfterCopy(now, done.handle, std::move(copies));
}

auto RequestManager::OnFailed(Instant now, const UpstreamFailed& failed)
    -> void {
  OpenRequest* const request = this->FindRunning(failed.handle, failed.attempt);
  if (request == nullptr) {
    return;
  }
  request->ever_sent = request->ever_sent || (failed.sent && !failed.refused);
  if (this->TryResume(now, failed, *request)) {
    return;
  }
  this->pool.RecordFailure(now, request->upstream);
  this->ReleaseUpstream(*request);
  if (!request->incoming.resume) {
    request->excluded.insert(request->upstream);
  }
  request->incoming.resume.reset();
  if (request->incoming.at_most_once && failed.sent && !failed.refused) {
    this->FailAtMostOnce(now, failed, *request);
    return;
  }
  if (!failed.relayed && this->TryRetry(now, failed, *request)) {
    return;
  }
  if (request->incoming.at_most_once) {
    this->SubmitOutcome(now, *request, wire::OUTCOME_NOT_RUN, nullptr);
  }
  this->Refuse(now, failed.handle,
               {RefusalCode::kUpstreamFailed, ExecutionStateOf(*request),
                failed.text, kRetryAfterBusy});
}

auto RequestManager::TryResume(Instant now,
                               const UpstreamFailed& failed,
                               OpenRequest& request) -> bool {
  const bool may_resume = failed.can_resume && !request.incoming.at_most_once &&
                          request.resumptions < kMaxResumptions &&
                          now < request.deadline;
  if (!may_resume) {
    return false;
  }
  ++request.resumptions;
  ++request.attempt;
  ++this->request_counters.resumptions;
  ++this->request_counters.upstream_sends;
  this->actions.Push(
      ResumeUpstreamStream{failed.handle, request.upstream, request.attempt});
  return true;
}

auto RequestManager::TryRetry(Instant now,
                              const UpstreamFailed& failed,
                              OpenRequest& request) -> bool {
  const bool may_retry = request.attempt < this->retry.max_attempts &&
                         now < request.deadline && this->retry_budget.TryTake();
  if (!may_retry) {
    return false;
  }
  ++this->request_counters.retries;
  this->Enqueue(now, failed.handle, request);
  return true;
}

auto RequestManager::FailAtMostOnce(Instant now,
                                    const UpstreamFailed& failed,
                                    OpenRequest& request) -> void {
  this->SubmitOutcome(now, request, wire::OUTCOME_UNKNOWN, nullptr);
  this->Refuse(
      now, failed.handle,
      {RefusalCode::kOutcomeUnknown, ExecutionState::kUnknown,
       "the request was sent and not answered: " + failed.text, Duration{0}});
}

auto RequestManager::SubmitOutcome(Instant now,
                                   const OpenRequest& request,
                                   wire::OutcomeState state,
                                   const UpstreamCompleted* done)
    -> wire::LedgerEntry {
  wire::LedgerEntry entry;
  entry.set_entry_id("outcome/" + request.run.value() + "/" +
                     std::to_string(state));
  wire::Outcome& outcome = *entry.mutable_outcome();
  outcome.set_team(request.incoming.team.value());
  outcome.set_request_key(request.incoming.key.value());
  outcome.set_run_id(request.run.value());
  outcome.set_state(state);
  if (done != nullptr) {
    outcome.set_http_status(done->http_status);
    outcome.set_content_type(done->content_type);
    outcome.set_body(done->body.substr(0, kMaxStoredBodyBytes));
  }
  this->outbox.Add(now, this->partitions.PartitionOf(request.incoming.team),
                   entry, Urgency::kBatched);
  return entry;
}

auto RequestManager::ReleaseUpstream(const OpenRequest& request) -> void {
  if (request.stage == Stage::kRunning) {
    this->pool.Release(request.upstream,
                       request.incoming.request_class.latency_class);
  }
}

//==============================================================================
// Ends

auto RequestManager::OnCallerDisconnected(
    Instant now,
    const CallerDisconnected& disconnected) -> void {
  const auto found = this->requests.find(disconnected.handle);
  if (found == this->requests.end()) {
    return;
  }
  OpenRequest& request = found->second;
  // An at-most-once request continues to its end: a retry of the caller needs
  // its outcome.
  if (request.stage == Stage::kRunning && request.incoming.at_most_once) {
    return;
  }
  ++this->request_counters.caller_disconnects;
  if (request.stage == Stage::kRunning) {
    this->actions.Push(
        CancelUpstreamRequest{disconnected.handle, request.attempt});
    this->ReleaseUpstream(request);
  }
  if (request.stage == Stage::kQueued && request.incoming.at_most_once) {
    this->SubmitOutcome(now, request, wire::OUTCOME_NOT_RUN, nullptr);
  }
  this->Close(now, disconnected.handle, disconnected.delivered);
}

auto RequestManager::Refuse(Instant now, RequestHandle handle, Refusal refusal)
    -> void {
  ++this->request_counters.refused.at(static_cast<std::size_t>(refusal.code));
  this->actions.Push(RefuseRequest{handle, std::move(refusal)});
  this->Close(now, handle, 0);
}

auto RequestManager::Close(Instant now, RequestHandle handle, Tokens spent)
    -> void {
  const auto found = this->requests.find(handle);
  OpenRequest request = std::move(found->second);
  this->handle_by_run_id.erase(request.run.value());
  this->requests.erase(found);
  this->queue.Remove(handle);
  if (request.stage == Stage::kWaitingTokens) {
    this->budget.CancelWaiting(handle);
    return;
  }
  this->budget.Settle(
      now, {request.incoming.team, request.incoming.key, request.run,
            request.incoming.request_class.name, request.incoming.issued_at_ms,
            request.incoming.upper, spent});
}

auto RequestManager::Advance(Instant now) -> void {
  this->ProcessBudgetDecisions(now);
  this->queue.TryDispatchAll(
      [&](RequestHandle handle) { return this->TryDispatch(now, handle); });
}

auto RequestManager::Tick(Instant now) -> void {
  this->EndOverdue(now);
  this->Advance(now);
}

auto RequestManager::ProcessBudgetDecisions(Instant now) -> void {
  std::vector<BudgetDecision> decisions = this->budget.TakeDecisions();
  for (; !decisions.empty(); decisions = this->budget.TakeDecisions()) {
    for (const BudgetDecision& decision : decisions) {
      const auto found = this->requests.find(decision.handle);
      if (found == this->requests.end()) {
        if (decision.reserved) {
          this->budget.Release(now, decision.team, decision.upper);
        }
      } else if (decision.reserved) {
        this->OnTokens(now, decision.handle, found->second);
      } else {
        this->Refuse(now, decision.handle,
                     {decision.refusal, ExecutionState::kNotExecuted,
                      "no tokens of team \"" + decision.team.value() +
                          "\" could be had for the request",
                      kRetryAfterBudget});
      }
    }
  }
}

auto RequestManager::ExecutionStateOf(const OpenRequest& request)
    -> ExecutionState {
  return request.ever_sent ? ExecutionState::kUnknown
                           : ExecutionState::kNotExecuted;
}

auto RequestManager::EndOverdue(Instant now) -> void {
  for (const RequestHandle handle : this->queue.TakeExpired(now)) {
    const OpenRequest& request = this->requests.at(handle);
    if (request.incoming.at_most_once) {
      this->SubmitOutcome(now, request, wire::OUTCOME_NOT_RUN, nullptr);
    }
    this->Refuse(now, handle,
                 {RefusalCode::kNoUpstream, ExecutionStateOf(request),
                  "no upstream took the request in time", kRetryAfterBusy});
  }
  std::vector<RequestHandle> overdue_claims;
  std::vector<RequestHandle> overdue_executions;
  for (const auto& [handle, request] : this->requests) {
    if (request.stage == Stage::kWaitingClaim &&
        now >= request.stage_deadline) {
      overdue_claims.push_back(handle);
    } else if (request.stage == Stage::kRunning && now >= request.deadline) {
      overdue_executions.push_back(handle);
    }
  }
  for (const RequestHandle handle : overdue_claims) {
    this->Refuse(now, handle,
                 {RefusalCode::kClaimUnavailable, ExecutionState::kNotExecuted,
                  "the ledger did not confirm in time that the request may run",
                  kRetryAfterLedger});
  }
  for (const RequestHandle handle : overdue_executions) {
    OpenRequest& request = this->requests.at(handle);
    this->actions.Push(CancelUpstreamRequest{handle, request.attempt});
    this->ReleaseUpstream(request);
    const bool unknown = request.incoming.at_most_once;
    if (unknown) {
      this->SubmitOutcome(now, request, wire::OUTCOME_UNKNOWN, nullptr);
    }
    this->Refuse(
        now, handle,
        {unknown ? RefusalCode::kOutcomeUnknown
                 : RefusalCode::kDeadlineExceeded,
         unknown ? ExecutionState::kUnknown : ExecutionState::kExecuted,
         "the upstream did not finish within the deadline", kRetryAfterBusy});
  }
}

}  // namespace auburnloft

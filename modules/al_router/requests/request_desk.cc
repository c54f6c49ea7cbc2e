#include "al_router/requests/request_desk.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace auburnloft {

namespace {

/** How long an at-most-once request waits for its claim: several commits of a
 * slow log. */
constexpr Duration kClaimWait = std::chrono::seconds(3);

/** A broken stream is taken up again this many times at most. */
constexpr int kMostResumptions = 3;

/** When callers may come back after a refusal of each kind. */
constexpr Duration kRetryAfterBudget = std::chrono::seconds(1);
constexpr Duration kRetryAfterBusy = std::chrono::seconds(2);
constexpr Duration kRetryAfterLedger = std::chrono::seconds(3);

/** The answer of an at-most-once request is kept for repeats up to this size.
 */
constexpr std::size_t kMostKeptBody = 4096;

}  // namespace

RequestDesk::RequestDesk(IncarnationId self,
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

auto RequestDesk::SetRetry(const RetrySettings& settings) -> void {
  this->retry = settings;
  this->retry_budget.SetRatio(settings.budget_ratio);
}

//==============================================================================
// Arrival and tokens

auto RequestDesk::OnRequest(Instant now,
                            RequestHandle handle,
                            ArrivingRequest arrival) -> void {
  assert(!this->requests.contains(handle));
  ++this->counts.arrived;
  OpenRequest& request = this->requests[handle];
  request.arrival = std::move(arrival);
  request.run =
      RunId(this->self.value() + "/" + std::to_string(this->next_run++));
  this->handle_of_run[request.run.value()] = handle;
  request.deadline = now + request.arrival.request_class.deadline;
  const Instant give_up_at = now + request.arrival.request_class.queue_limit;
  switch (this->budget.Reserve(now, handle, request.arrival.team,
                               request.arrival.upper, give_up_at)) {
    case BudgetCoordinator::ReserveResult::kReserved:
      this->OnTokens(now, handle, request);
      break;
    case BudgetCoordinator::ReserveResult::kWaiting:
      ++this->counts.waited_for_tokens;
      break;
    case BudgetCoordinator::ReserveResult::kRefused:
      this->Refuse(now, handle,
                   {RefusalCode::kBudgetExhausted, RunState::kNo,
                    "the budget of team \"" + request.arrival.team.value() +
                        "\" does not cover the request",
                    kRetryAfterBudget});
      break;
  }
}

auto RequestDesk::OnTokens(Instant now,
                           RequestHandle handle,
                           OpenRequest& request) -> void {
  if (request.arrival.at_most_once) {
    this->Claim(now, request);
  } else {
    this->Enqueue(now, handle, request);
  }
}

//==============================================================================
// Claims

auto RequestDesk::Claim(Instant now, OpenRequest& request) -> void {
  request.stage = Stage::kWaitingClaim;
  request.stage_deadline = now + kClaimWait;
  wire::LedgerEntry entry;
  entry.set_entry_id("claim/" + request.run.value());
  wire::Claim& claim = *entry.mutable_claim();
  claim.set_team(request.arrival.team.value());
  claim.set_request_key(request.arrival.key.value());
  claim.set_holder(this->self.value());
  claim.set_run_id(request.run.value());
  claim.set_issued_at_ms(request.arrival.issued_at_ms);
  this->outbox.Add(now, this->partitions.PartitionOf(request.arrival.team),
                   std::move(entry), Urgency::kImmediate);
}

auto RequestDesk::OnVerdict(Instant now,
                            const wire::LedgerEntry& entry,
                            const wire::EntryVerdict& verdict) -> void {
  if (entry.has_claim()) {
    this->OnClaimVerdict(now, entry.claim(), verdict);
  }
}

auto RequestDesk::OnClaimVerdict(Instant now,
                                 const wire::Claim& claim,
                                 const wire::EntryVerdict& verdict) -> void {
  const auto handle = this->handle_of_run.find(claim.run_id());
  const bool granted = verdict.verdict() == wire::VERDICT_VALID ||
                       verdict.verdict() == wire::VERDICT_REPEATED;
  if (handle == this->handle_of_run.end()) {
    if (granted) {
      // The request was refused as not run while the ledger was late; free its
      // key.
      OpenRequest ended;
      ended.arrival.team = TeamId(claim.team());
      ended.arrival.key = RequestKey(claim.request_key());
      ended.run = RunId(claim.run_id());
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
    this->OnClaimTaken(now, handle->second, verdict);
  }
}

auto RequestDesk::OnClaimTaken(Instant now,
                               RequestHandle handle,
                               const wire::EntryVerdict& verdict) -> void {
  const wire::ClaimState& standing = verdict.claim();
  if (verdict.verdict() == wire::VERDICT_TOO_OLD) {
    this->Refuse(
        now, handle,
        {RefusalCode::kKeyExpired, RunState::kUnknown,
         "the request was issued before the horizon of remembered keys",
         Duration{0}});
    return;
  }
  if (standing.state() == wire::OUTCOME_RAN) {
    ++this->counts.replayed;
    this->actions.Push(ReplayAnswer{handle, standing.http_status(),
                                    standing.content_type(), standing.body()});
    this->Close(now, handle, 0);
    return;
  }
  if (standing.state() == wire::OUTCOME_UNKNOWN) {
    this->Refuse(now, handle,
                 {RefusalCode::kOutcomeUnknown, RunState::kUnknown,
                  "an earlier run of this request may have taken effect; an "
                  "operator must resolve it",
                  Duration{0}});
    return;
  }
  this->Refuse(now, handle,
               {RefusalCode::kInProgress, RunState::kUnknown,
                "another run of this request is under way", kRetryAfterLedger});
}

//==============================================================================
// Upstreams

auto RequestDesk::Enqueue(Instant now,
                          RequestHandle handle,
                          OpenRequest& request) -> void {
  request.stage = Stage::kQueued;
  const RequestClass& request_class = request.arrival.request_class;
  request.stage_deadline =
      std::min(request.deadline, now + request_class.queue_limit);
  const Duration wait = this->queue.ExpectedWait(now, request_class.patience);
  if (wait == Duration{0} && this->TryDispatch(now, handle)) {
    return;
  }
  if (wait > request_class.queue_limit) {
    this->Refuse(now, handle,
                 {RefusalCode::kNoUpstream, RunStateOf(request),
                  "all upstreams are busy for longer than class \"" +
                      request_class.name + "\" waits",
                  kRetryAfterBusy});
    return;
  }
  this->queue.Add(handle, request_class.patience, now, request.stage_deadline);
}

auto RequestDesk::TryDispatch(Instant now, RequestHandle handle) -> bool {
  OpenRequest& request = this->requests.at(handle);
  if (request.arrival.resume && request.attempt == 0) {
    this->ResumeElsewhere(handle, request);
    return true;
  }
  UpstreamQuery query;
  query.model = request.arrival.model;
  query.service = request.arrival.service;
  query.patience = request.arrival.request_class.patience;
  query.prefix = request.arrival.prefix;
  query.avoid = &request.avoid;
  const std::optional<UpstreamId> upstream = this->pool.TryAcquire(now, query);
  if (!upstream) {
    return false;
  }
  if (request.attempt == 0) {
    this->retry_budget.NoteRequest();
  }
  ++this->counts.upstream_sends;
  request.stage = Stage::kRunning;
  request.upstream = *upstream;
  ++request.attempt;
  this->actions.Push(StartUpstream{handle, *upstream, request.attempt,
                                   request.arrival.request_class.priority});
  return true;
}

auto RequestDesk::ResumeElsewhere(RequestHandle handle, OpenRequest& request)
    -> void {
  this->retry_budget.NoteRequest();
  ++this->counts.resumptions;
  ++this->counts.upstream_sends;
  request.stage = Stage::kRunning;
  request.upstream = request.arrival.resume->upstream;
  request.attempt = 1;
  this->pool.Acquire(request.upstream, request.arrival.request_class.patience);
  this->actions.Push(ResumeUpstream{handle, request.upstream, request.attempt});
}

auto RequestDesk::FindRunning(RequestHandle handle, int attempt)
    -> OpenRequest* {
  const auto found = this->requests.find(handle);
  const bool is_current = found != this->requests.end() &&
                          found->second.stage == Stage::kRunning &&
                          found->second.attempt == attempt;
  return is_current ? &found->second : nullptr;
}

auto RequestDesk::OnDone(Instant now, const UpstreamDone& done) -> void {
  OpenRequest* const request = this->FindRunning(done.handle, done.attempt);
  if (request == nullptr) {
    return;
  }
  this->pool.NoteSuccess(request->upstream);
  ++this->counts.answered;
  std::vector<wire::LedgerEntry> copies;
  if (request->arrival.at_most_once) {
    copies.push_back(
        this->SubmitOutcome(now, *request, wire::OUTCOME_RAN, &done));
  }
  this->ReleaseUpstream(*request);
  const std::optional<wire::LedgerEntry> bill = this->budget.Settle(
      now, {request->arrival.team, request->arrival.key, request->run,
            request->arrival.request_class.name, request->arrival.issued_at_ms,
            request->arrival.upper, done.spent});
  if (bill) {
    copies.push_back(*bill);
  }
  this->handle_of_run.erase(request->run.value());
  this->requests.erase(done.handle);
  this->witness.ReleaseAfterCopy(now, done.handle, std::move(copies));
}

auto RequestDesk::OnFailed(Instant now, const UpstreamFailed& failed) -> void {
  OpenRequest* const request = this->FindRunning(failed.handle, failed.attempt);
  if (request == nullptr) {
    return;
  }
  request->ever_sent = request->ever_sent || (failed.sent && !failed.refused);
  if (this->TryResume(now, failed, *request)) {
    return;
  }
  this->pool.NoteFailure(now, request->upstream);
  this->ReleaseUpstream(*request);
  if (!request->arrival.resume) {
    request->avoid.insert(request->upstream);
  }
  request->arrival.resume.reset();
  if (request->arrival.at_most_once && failed.sent && !failed.refused) {
    this->FailAtMostOnce(now, failed, *request);
    return;
  }
  if (!failed.relayed && this->TryRetry(now, failed, *request)) {
    return;
  }
  if (request->arrival.at_most_once) {
    this->SubmitOutcome(now, *request, wire::OUTCOME_NOT_RUN, nullptr);
  }
  this->Refuse(now, failed.handle,
               {RefusalCode::kUpstreamFailed, RunStateOf(*request), failed.text,
                kRetryAfterBusy});
}

auto RequestDesk::TryResume(Instant now,
                            const UpstreamFailed& failed,
                            OpenRequest& request) -> bool {
  const bool may_resume = failed.can_resume && !request.arrival.at_most_once &&
                          request.resumptions < kMostResumptions &&
                          now < request.deadline;
  if (!may_resume) {
    return false;
  }
  ++request.resumptions;
  ++request.attempt;
  ++this->counts.resumptions;
  ++this->counts.upstream_sends;
  this->actions.Push(
      ResumeUpstream{failed.handle, request.upstream, request.attempt});
  return true;
}

auto RequestDesk::TryRetry(Instant now,
                           const UpstreamFailed& failed,
                           OpenRequest& request) -> bool {
  const bool may_retry = request.attempt < this->retry.most_attempts &&
                         now < request.deadline && this->retry_budget.TryTake();
  if (!may_retry) {
    return false;
  }
  ++this->counts.retries;
  this->Enqueue(now, failed.handle, request);
  return true;
}

auto RequestDesk::FailAtMostOnce(Instant now,
                                 const UpstreamFailed& failed,
                                 OpenRequest& request) -> void {
  this->SubmitOutcome(now, request, wire::OUTCOME_UNKNOWN, nullptr);
  this->Refuse(
      now, failed.handle,
      {RefusalCode::kOutcomeUnknown, RunState::kUnknown,
       "the request was sent and not answered: " + failed.text, Duration{0}});
}

auto RequestDesk::SubmitOutcome(Instant now,
                                const OpenRequest& request,
                                wire::OutcomeState state,
                                const UpstreamDone* done) -> wire::LedgerEntry {
  wire::LedgerEntry entry;
  entry.set_entry_id("outcome/" + request.run.value() + "/" +
                     std::to_string(state));
  wire::Outcome& outcome = *entry.mutable_outcome();
  outcome.set_team(request.arrival.team.value());
  outcome.set_request_key(request.arrival.key.value());
  outcome.set_run_id(request.run.value());
  outcome.set_state(state);
  if (done != nullptr) {
    outcome.set_http_status(done->http_status);
    outcome.set_content_type(done->content_type);
    outcome.set_body(done->body.substr(0, kMostKeptBody));
  }
  this->outbox.Add(now, this->partitions.PartitionOf(request.arrival.team),
                   entry, Urgency::kBatched);
  return entry;
}

auto RequestDesk::ReleaseUpstream(const OpenRequest& request) -> void {
  if (request.stage == Stage::kRunning) {
    this->pool.Release(request.upstream,
                       request.arrival.request_class.patience);
  }
}

//==============================================================================
// Ends

auto RequestDesk::OnCallerGone(Instant now, const CallerGone& gone) -> void {
  const auto found = this->requests.find(gone.handle);
  if (found == this->requests.end()) {
    return;
  }
  OpenRequest& request = found->second;
  // What must not repeat runs to its end: its outcome is wanted for the
  // caller's retry.
  if (request.stage == Stage::kRunning && request.arrival.at_most_once) {
    return;
  }
  ++this->counts.callers_gone;
  if (request.stage == Stage::kRunning) {
    this->actions.Push(CancelUpstream{gone.handle, request.attempt});
    this->ReleaseUpstream(request);
  }
  if (request.stage == Stage::kQueued && request.arrival.at_most_once) {
    this->SubmitOutcome(now, request, wire::OUTCOME_NOT_RUN, nullptr);
  }
  this->Close(now, gone.handle, gone.delivered);
}

auto RequestDesk::Refuse(Instant now, RequestHandle handle, Refusal refusal)
    -> void {
  ++this->counts.refused.at(static_cast<std::size_t>(refusal.code));
  this->actions.Push(RefuseRequest{handle, std::move(refusal)});
  this->Close(now, handle, 0);
}

auto RequestDesk::Close(Instant now, RequestHandle handle, Tokens spent)
    -> void {
  const auto found = this->requests.find(handle);
  OpenRequest request = std::move(found->second);
  this->handle_of_run.erase(request.run.value());
  this->requests.erase(found);
  this->queue.Remove(handle);
  if (request.stage == Stage::kWaitingTokens) {
    this->budget.CancelWaiting(handle);
    return;
  }
  this->budget.Settle(
      now, {request.arrival.team, request.arrival.key, request.run,
            request.arrival.request_class.name, request.arrival.issued_at_ms,
            request.arrival.upper, spent});
}

auto RequestDesk::Advance(Instant now) -> void {
  this->TakeDecisions(now);
  this->queue.Offer(
      [&](RequestHandle handle) { return this->TryDispatch(now, handle); });
}

auto RequestDesk::Tick(Instant now) -> void {
  this->EndLate(now);
  this->Advance(now);
}

auto RequestDesk::TakeDecisions(Instant now) -> void {
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
                     {decision.refusal, RunState::kNo,
                      "no tokens of team \"" + decision.team.value() +
                          "\" could be had for the request",
                      kRetryAfterBudget});
      }
    }
  }
}

auto RequestDesk::RunStateOf(const OpenRequest& request) -> RunState {
  return request.ever_sent ? RunState::kUnknown : RunState::kNo;
}

auto RequestDesk::EndLate(Instant now) -> void {
  for (const RequestHandle handle : this->queue.TakeExpired(now)) {
    const OpenRequest& request = this->requests.at(handle);
    if (request.arrival.at_most_once) {
      this->SubmitOutcome(now, request, wire::OUTCOME_NOT_RUN, nullptr);
    }
    this->Refuse(now, handle,
                 {RefusalCode::kNoUpstream, RunStateOf(request),
                  "no upstream took the request in time", kRetryAfterBusy});
  }
  std::vector<RequestHandle> late_claims;
  std::vector<RequestHandle> late_runs;
  for (const auto& [handle, request] : this->requests) {
    if (request.stage == Stage::kWaitingClaim &&
        now >= request.stage_deadline) {
      late_claims.push_back(handle);
    } else if (request.stage == Stage::kRunning && now >= request.deadline) {
      late_runs.push_back(handle);
    }
  }
  for (const RequestHandle handle : late_claims) {
    this->Refuse(now, handle,
                 {RefusalCode::kClaimUnavailable, RunState::kNo,
                  "the ledger did not confirm in time that the request may run",
                  kRetryAfterLedger});
  }
  for (const RequestHandle handle : late_runs) {
    OpenRequest& request = this->requests.at(handle);
    this->actions.Push(CancelUpstream{handle, request.attempt});
    this->ReleaseUpstream(request);
    const bool unknown = request.arrival.at_most_once;
    if (unknown) {
      this->SubmitOutcome(now, request, wire::OUTCOME_UNKNOWN, nullptr);
    }
    this->Refuse(
        now, handle,
        {unknown ? RefusalCode::kOutcomeUnknown
                 : RefusalCode::kDeadlineExceeded,
         unknown ? RunState::kUnknown : RunState::kYes,
         "the upstream did not finish within the deadline", kRetryAfterBusy});
  }
}

}  // namespace auburnloft

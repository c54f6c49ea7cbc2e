#ifndef AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_
#define AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "al_actions/action_queue.h"
#include "al_budget/allowance/budget_coordinator.h"
#include "al_budget/outbox/entry_outbox.h"
#include "al_budget/witness/witness_manager.h"
#include "al_ledger/records/partition_map.h"
#include "al_router/requests/incoming_request.h"
#include "al_router/requests/request_counters.h"
#include "al_router/requests/upstream_events.h"
#include "al_traffic/queue/dispatch_queue.h"
#include "al_traffic/retry/retry_budget.h"
#include "al_traffic/upstreams/upstream_pool.h"

namespace auburnloft {

/** Handles each request at this router from its arrival to its bill.

    A request first reserves its tokens. An at-most-once request then claims its
   key in the ledger. The request waits for an upstream, is sent, and is billed
   for its actual cost. A request is reported as not executed only if no
   upstream can have begun to execute it. An at-most-once request that was sent
   and got no response is never sent again: its outcome is recorded as unknown.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator, UpstreamPool, WitnessManager
*/
class RequestManager {
 public:
  RequestManager(IncarnationId self,
                 PartitionMap partitions,
                 ActionQueue& actions,
                 BudgetCoordinator& budget,
                 EntryOutbox& outbox,
                 WitnessManager& witness,
                 UpstreamPool& pool);

  RequestManager(const RequestManager&) = delete;
  auto operator=(const RequestManager&) -> RequestManager& = delete;

  //============================================================================
  // Commands

  /** Changes the retry settings; they apply to later retries. */
  auto SetRetry(const RetrySettings& settings) -> void;

  /** Starts to handle a request. @pre `handle` is not in use. */
  auto OnRequest(Instant now, RequestHandle handle, IncomingRequest incoming)
      -> void;

  /** Bills a completed request. The final part of its response is released when
   * a witness (a router with a copy of the bill) confirms the copy, or after a
   * short time limit. */
  auto OnDone(Instant now, const UpstreamCompleted& done) -> void;
  /** Resumes the stream, retries the request or refuses it. */
  auto OnFailed(Instant now, const UpstreamFailed& failed) -> void;
  /** Cancels the request and bills the delivered tokens. An at-most-once
   * request that was sent continues. */
  auto OnCallerDisconnected(Instant now, const CallerDisconnected& disconnected)
      -> void;

  /** Handles the keeper's verdict on a claim or an outcome. (The keeper is the
   * leader of a ledger partition.) */
  auto OnVerdict(Instant now,
                 const wire::LedgerEntry& entry,
                 const wire::EntryVerdict& verdict) -> void;

  /** Continues the requests whose wait for tokens has ended, and dispatches
   * queued requests to upstreams. */
  auto Advance(Instant now) -> void;

  /** Ends overdue requests, then calls Advance(). */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Queries

  /** Number of requests that are not closed. */
  [[nodiscard]] auto open() const -> std::size_t {
    return this->requests.size();
  }
  /** Number of requests that wait for an upstream. */
  [[nodiscard]] auto queued() const -> std::size_t {
    return this->queue.size();
  }
  [[nodiscard]] auto counters() const -> const RequestCounters& {
    return this->request_counters;
  }

 private:
  enum class Stage { kWaitingTokens, kWaitingClaim, kQueued, kRunning };
  struct OpenRequest {
    IncomingRequest incoming;
    Stage stage = Stage::kWaitingTokens;
    ExecutionId
        run;  ///< Identifies the handling of the request by this router.
    Instant deadline;
    Instant stage_deadline;
    int attempt = 0;
    int resumptions = 0;
    bool ever_sent = false;  ///< An upstream may have begun to execute it.
    UpstreamId upstream;
    std::set<UpstreamId> excluded;
  };
  using Requests = std::map<RequestHandle, OpenRequest>;

  auto OnTokens(Instant now, RequestHandle handle, OpenRequest& request)
      -> void;
  auto SubmitClaim(Instant now, OpenRequest& request) -> void;
  auto OnClaimVerdict(Instant now,
                      const wire::Claim& claim,
                      const wire::EntryVerdict& verdict) -> void;
  auto OnClaimRefused(Instant now,
                      RequestHandle handle,
                      const wire::EntryVerdict& verdict) -> void;
  auto Enqueue(Instant now, RequestHandle handle, OpenRequest& request) -> void;
  auto TryDispatch(Instant now, RequestHandle handle) -> bool;
  auto ResumeCallerStream(RequestHandle handle, OpenRequest& request) -> void;
  auto TryResume(Instant now,
                 const UpstreamFailed& failed,
                 OpenRequest& request) -> bool;
  auto TryRetry(Instant now, const UpstreamFailed& failed, OpenRequest& request)
      -> bool;
  auto FailAtMostOnce(Instant now,
                      const UpstreamFailed& failed,
                      OpenRequest& request) -> void;
  auto Refuse(Instant now, RequestHandle handle, Refusal refusal) -> void;
  [[nodiscard]] static auto ExecutionStateOf(const OpenRequest& request)
      -> ExecutionState;
  auto ProcessBudgetDecisions(Instant now) -> void;
  auto Close(Instant now, RequestHandle handle, Tokens spent) -> void;
  auto ReleaseUpstream(const OpenRequest& request) -> void;
  auto SubmitOutcome(Instant now,
                     const OpenRequest& request,
                     wire::OutcomeState state,
                     const UpstreamCompleted* done) -> wire::LedgerEntry;
  auto EndOverdue(Instant now) -> void;
  auto FindRunning(RequestHandle handle, int attempt) -> OpenRequest*;

  IncarnationId self;
  PartitionMap partitions;
  ActionQueue& actions;
  BudgetCoordinator& budget;
  EntryOutbox& outbox;
  WitnessManager& witness;
  UpstreamPool& pool;
  RetrySettings retry;
  RetryBudget retry_budget;
  DispatchQueue queue;
  Requests requests;
  std::unordered_map<std::string, RequestHandle> handle_by_run_id;
  std::uint64_t next_run = 1;
  RequestCounters request_counters;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_

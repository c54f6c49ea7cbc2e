#ifndef AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_
#define AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "al_actions/action_queue.h"
#include "al_budget/allowance/budget_coordinator.h"
#include "al_budget/outbox/entry_outbox.h"
#include "al_budget/witness/witness_desk.h"
#include "al_ledger/records/partition_map.h"
#include "al_router/requests/incoming_request.h"
#include "al_router/requests/request_counters.h"
#include "al_router/requests/upstream_events.h"
#include "al_traffic/queue/dispatch_queue.h"
#include "al_traffic/retry/retry_budget.h"
#include "al_traffic/upstreams/upstream_pool.h"

namespace auburnloft {

/** The life of each request at this router.

    A request first reserves its tokens; an at-most-once one then claims its key
   in the ledger; then it waits for an upstream, is sent, and settles for what
   it cost. "Not run" is said only of a request of which nothing was sent. An
   at-most-once request that was sent and not answered is never sent again: its
   outcome is recorded as unknown.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator, UpstreamPool, WitnessDesk
*/
class RequestManager {
 public:
  RequestManager(IncarnationId self,
                 PartitionMap partitions,
                 ActionQueue& actions,
                 BudgetCoordinator& budget,
                 EntryOutbox& outbox,
                 WitnessDesk& witness,
                 UpstreamPool& pool);

  RequestManager(const RequestManager&) = delete;
  auto operator=(const RequestManager&) -> RequestManager& = delete;

  //============================================================================
  // Commands

  /** Changes the retry settings for the requests from now on. */
  auto SetRetry(const RetrySettings& settings) -> void;

  /** Takes in a request. @pre `handle` is new. */
  auto OnRequest(Instant now, RequestHandle handle, IncomingRequest incoming)
      -> void;

  auto OnDone(Instant now, const UpstreamCompleted& done) -> void;
  auto OnFailed(Instant now, const UpstreamFailed& failed) -> void;
  auto OnCallerDisconnected(Instant now, const CallerDisconnected& gone)
      -> void;

  /** Handles the verdict on a claim or an outcome. */
  auto OnVerdict(Instant now,
                 const wire::LedgerEntry& entry,
                 const wire::EntryVerdict& verdict) -> void;

  /** Goes on with requests whose tokens have come, and offers the queue to the
   * upstreams. */
  auto Advance(Instant now) -> void;

  /** Ends what is late, and advances. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto open() const -> std::size_t {
    return this->requests.size();
  }
  [[nodiscard]] auto queued() const -> std::size_t {
    return this->queue.size();
  }
  [[nodiscard]] auto counters() const -> const RequestCounters& {
    return this->counts;
  }

 private:
  enum class Stage { kWaitingTokens, kWaitingClaim, kQueued, kRunning };
  struct OpenRequest {
    IncomingRequest incoming;
    Stage stage = Stage::kWaitingTokens;
    RunId run;
    Instant deadline;
    Instant stage_deadline;
    int attempt = 0;
    int resumptions = 0;
    bool ever_sent = false;  ///< An upstream may have begun to work on it.
    UpstreamId upstream;
    std::set<UpstreamId> excluded;
  };
  using Requests = std::map<RequestHandle, OpenRequest>;

  auto OnTokens(Instant now, RequestHandle handle, OpenRequest& request)
      -> void;
  auto Claim(Instant now, OpenRequest& request) -> void;
  auto OnClaimVerdict(Instant now,
                      const wire::Claim& claim,
                      const wire::EntryVerdict& verdict) -> void;
  auto OnClaimTaken(Instant now,
                    RequestHandle handle,
                    const wire::EntryVerdict& verdict) -> void;
  auto Enqueue(Instant now, RequestHandle handle, OpenRequest& request) -> void;
  auto TryDispatch(Instant now, RequestHandle handle) -> bool;
  auto ResumeElsewhere(RequestHandle handle, OpenRequest& request) -> void;
  auto TryResume(Instant now,
                 const UpstreamFailed& failed,
                 OpenRequest& request) -> bool;
  auto TryRetry(Instant now, const UpstreamFailed& failed, OpenRequest& request)
      -> bool;
  auto FailAtMostOnce(Instant now,
                      const UpstreamFailed& failed,
                      OpenRequest& request) -> void;
  auto Refuse(Instant now, RequestHandle handle, Refusal refusal) -> void;
  [[nodiscard]] static auto RunStateOf(const OpenRequest& request)
      -> ExecutionState;
  auto TakeDecisions(Instant now) -> void;
  auto Close(Instant now, RequestHandle handle, Tokens spent) -> void;
  auto ReleaseUpstream(const OpenRequest& request) -> void;
  auto SubmitOutcome(Instant now,
                     const OpenRequest& request,
                     wire::OutcomeState state,
                     const UpstreamCompleted* done) -> wire::LedgerEntry;
  auto EndLate(Instant now) -> void;
  auto FindRunning(RequestHandle handle, int attempt) -> OpenRequest*;

  IncarnationId self;
  PartitionMap partitions;
  ActionQueue& actions;
  BudgetCoordinator& budget;
  EntryOutbox& outbox;
  WitnessDesk& witness;
  UpstreamPool& pool;
  RetrySettings retry;
  RetryBudget retry_budget;
  DispatchQueue queue;
  Requests requests;
  std::unordered_map<std::string, RequestHandle> handle_of_run;
  std::uint64_t next_run = 1;
  RequestCounters counts;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_REQUESTS_REQUEST_MANAGER_H_

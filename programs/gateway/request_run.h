#ifndef GATEWAY_REQUEST_RUN_H_
#define GATEWAY_REQUEST_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/limits/execution_counter.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/streams/event_splitter.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "al_http1/http1_client_connection.h"
#include "al_http1/http1_server_session.h"
#include "gateway/caller_answer.h"
#include "gateway/gateway_context.h"
#include "gateway/request_budget.h"
#include "gateway/request_report.h"
#include "gateway/upstream_attempt.h"
#include "gateway/upstream_dispatch.h"

namespace auburnloft::gateway {

/** One caller's request from its arrival to its final answer: checked, paid
   for, sent to an upstream, sent again where that is allowed, and answered
   once.

    A refusal that promises "not run" is given only while ExecutionCounter says
   so of every send.

    Keeps itself alive until it has answered.

    Thread safety: none; used on the loop's thread.
*/
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(GatewayContext& context,
             std::shared_ptr<Http1ServerSession> session,
             Http1Request request);
  ~RequestRun();

  RequestRun(const RequestRun&) = delete;
  auto operator=(const RequestRun&) -> RequestRun& = delete;

  /** Begins; the run answers through its session. */
  auto Start() -> void;

 private:
  // Before the first send.
  auto Begin() -> void;
  auto ReserveBudget() -> void;
  auto OnBudget(BudgetAnswer answer) -> void;

  // Sends.
  auto Dispatch() -> void;
  [[nodiscard]] auto MakeSendQuery() const -> SendQuery;
  auto OnNoUpstream() -> void;
  [[nodiscard]] auto MakeCallbacks()
      -> Http1ClientConnection::ExchangeCallbacks;

  // Events of the attempt.
  auto OnBody(const std::string& bytes) -> void;
  auto PassEventsOn(std::string_view whole) -> void;
  auto OnDone(Http1Outcome outcome) -> void;
  auto OnAttemptTimeout() -> void;
  auto OnWholeAnswer() -> void;
  auto OnNotRun() -> void;
  auto OnFailedAttempt(Http1Outcome outcome) -> void;

  // Decisions.
  [[nodiscard]] auto TakeAnotherRun() -> bool;
  auto TryRunAgain(std::string_view why) -> bool;
  [[nodiscard]] auto TimeLeft() const -> Duration;

  // The end.
  auto OnDeadline() -> void;
  auto OnCallerGone() -> void;
  auto Deliver(const UpstreamAttempt& finished) -> void;
  auto FinishStream() -> void;
  auto BreakStream(std::string_view why) -> void;
  auto Refuse(int status, std::string_view why, Duration retry_after) -> void;
  auto EndAttempt(UpstreamResult result) -> std::unique_ptr<UpstreamAttempt>;
  auto End(std::string_view outcome, int status, std::string_view why) -> void;
  [[nodiscard]] auto MakeReport() const -> RequestReport;
  [[nodiscard]] auto UsedTokens() const -> std::uint64_t;

  GatewayContext& context;
  Http1Request request;
  RequestMetadata facts;
  std::shared_ptr<CallerAnswer> caller;
  std::shared_ptr<const RouteTable> table;
  const RouteRule* route = nullptr;
  const TeamRule* team = nullptr;
  std::string service;
  Instant arrived_at{};
  Instant deadline{};
  std::unique_ptr<LoopTimer> deadline_timer;
  std::unique_ptr<LoopTimer> attempt_timer;
  RequestBudget budget;
  std::unique_ptr<UpstreamAttempt> attempt;
  std::vector<std::string> tried;  ///< Ids of upstreams that had their turn.
  ExecutionCounter count;
  EventSplitter events;
  Duration first_event_after{0};
  bool ended = false;
  std::shared_ptr<RequestRun> self;  ///< Until the end.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_RUN_H_

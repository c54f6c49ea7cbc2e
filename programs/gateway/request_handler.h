#ifndef GATEWAY_REQUEST_HANDLER_H_
#define GATEWAY_REQUEST_HANDLER_H_

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
#include "gateway/caller_response.h"
#include "gateway/crash_guard.h"
#include "gateway/gateway_context.h"
#include "gateway/hedged_attempts.h"
#include "gateway/request_budget.h"
#include "gateway/stream_continuation.h"
#include "gateway/upstream_attempt.h"
#include "gateway/upstream_dispatch.h"
#include "gateway/upstream_notices.h"

namespace auburnloft::gateway {

/** Handles one caller's request: checks it, reserves its tokens, sends it to an
    upstream, retries it if that is allowed, and responds once.

    A refusal (status 503) states that the request was not executed. It is sent
   only if ExecutionCounter rules out an execution for every attempt.

    Holds a reference to itself until it has responded.

    Thread safety: none; used on the loop's thread.
*/
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
 public:
  RequestHandler(GatewayContext& context,
                 std::shared_ptr<Http1ServerSession> session,
                 Http1Request request);
  ~RequestHandler();

  RequestHandler(const RequestHandler&) = delete;
  auto operator=(const RequestHandler&) -> RequestHandler& = delete;

  /** Starts to handle the request; the response goes to the session. */
  auto Start() -> void;

  /** Answers the request now, as the router stops: a stream that has begun is
     broken off. */
  auto EndForShutdown() -> void;

 private:
  // Before the first attempt.
  auto AdmitRequest() -> void;
  /** Returns whether the request can be answered before a planned stop of this
     router ends. @pre such a stop has begun. */
  [[nodiscard]] auto MayFinishInDrain(Duration timeout) const -> bool;
  /** Returns whether the request draws on its team's budget. */
  [[nodiscard]] auto NeedsTokens() const -> bool;
  /** Begins the request once it is known where its stream may go on. */
  auto AwaitVersion() -> void;
  auto ReserveBudget() -> void;
  auto OnReservation(ReservationResult result) -> void;

  /** Begins the request when it is admitted to its service. */
  auto AwaitAdmission() -> void;

  // Attempts.
  auto Dispatch() -> void;
  [[nodiscard]] auto MakeAttemptParameters() const -> AttemptParameters;
  auto OnNoUpstream() -> void;
  /** Lets a request that no upstream took now wait for another place.
      @return whether it waits. */
  auto TryWaitAgain() -> bool;
  [[nodiscard]] auto MakeCallbacks()
      -> Http1ClientConnection::ExchangeCallbacks;

  // Events of the current attempt.
  auto OnBody(const std::string& bytes) -> void;
  /** Returns whether the body of the current response is passed on event by
     event: other bodies are collected. */
  [[nodiscard]] auto PassesEvents() const -> bool;
  auto ForwardEvents(std::string_view whole_events) -> void;
  /** Records that the upstream has begun to answer. */
  auto RecordFirstByte() -> void;
  /** Fails the current attempt, as its response is not valid. */
  auto RejectResponse(std::string_view why) -> void;
  auto OnExchangeDone(Http1Outcome outcome) -> void;
  auto OnAttemptTimeout() -> void;
  auto OnCompleteResponse() -> void;
  auto OnNotExecuted() -> void;
  auto OnFailedAttempt(Http1Outcome outcome) -> void;
  /** Records that the attempt's connection ended before its answer was
     complete, as evidence that the request crashes upstreams. */
  auto RecordCrashEvidence() -> void;
  /** Ends the current attempt with `result`, and goes on with the second one if
     it runs beside it. @return whether it does. */
  auto EndOrSwitch(UpstreamResult result) -> bool;

  // Decisions.
  /** Refuses the request if it is quarantined, as a whole or by a part.
      @return whether it is refused. */
  auto RefuseIfQuarantined() -> bool;
  [[nodiscard]] auto TryTakeRetry() -> bool;
  auto TryRetry(std::string_view why) -> bool;
  [[nodiscard]] auto RemainingTime() const -> Duration;

  // Completion.
  auto OnDeadline() -> void;
  /** Ends the request without an answer of an upstream. */
  auto EndUnanswered(std::string_view why, Duration retry_after) -> void;
  /** As above, with `status` unless the request was not executed. */
  auto GiveUp(int status, std::string_view why, Duration retry_after) -> void;
  auto OnCallerDisconnected() -> void;
  auto ForwardResponse(const UpstreamAttempt& finished) -> void;
  auto FinishStream() -> void;
  auto AbortStream(std::string_view why) -> void;
  auto Refuse(int status, std::string_view why, Duration retry_after) -> void;
  auto EndAttempt(UpstreamResult result) -> std::unique_ptr<UpstreamAttempt>;
  auto Finish(std::string_view outcome, int status, std::string_view why)
      -> void;

  GatewayContext& context;
  Http1Request request;
  RequestMetadata metadata;
  std::shared_ptr<CallerResponse> response;
  std::shared_ptr<const RouteTable> table;
  const RouteRule* route = nullptr;
  const TeamRule* team = nullptr;
  std::string service;
  Instant arrived_at{};
  Instant deadline{};
  std::unique_ptr<LoopTimer> deadline_timer;
  std::unique_ptr<LoopTimer> attempt_timer;
  RequestBudget budget;
  UpstreamNotices upstream_notices;
  CrashGuard crash_guard;
  StreamContinuation continuation;
  std::unique_ptr<UpstreamAttempt> attempt;
  std::vector<std::string> tried_upstreams;  ///< By id.
  ExecutionCounter execution_counter;
  HedgedAttempts hedge;
  EventSplitter event_splitter;
  std::string pending_events;           ///< Comments before the next event.
  std::string_view response_end = "-";  ///< As RequestReport::end.
  Duration time_to_first_event{0};
  bool ended = false;
  std::shared_ptr<RequestHandler> self;  ///< Empty once finished.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_HANDLER_H_

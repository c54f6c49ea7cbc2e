#ifndef GATEWAY_HEDGED_ATTEMPTS_H_
#define GATEWAY_HEDGED_ATTEMPTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/streams/event_splitter.h"
#include "al_gateway/upstreams/upstream_state.h"
#include "al_http1/http1_client_connection.h"

namespace auburnloft {
class LoopTimer;
}

namespace auburnloft::gateway {

class CrashGuard;
class ExecutionCounter;
class UpstreamAttempt;
class UpstreamNotices;
enum class HedgeDecision;
struct AttemptParameters;
struct GatewayContext;

/** The second attempt of one request, which runs beside its current attempt if
   that is late ("hedge").

    It wins with its first event (stream) or its whole response (plain), and
   then becomes the current attempt; so it does if the current attempt fails.
   It is cancelled if the current attempt answers first, and given up if it
   fails itself. Until it is the current attempt, nothing that it receives is
   passed on.

    Does nothing unless GatewayContext::hedge_policy is set.

    Thread safety: none; used on the loop's thread.
*/
class HedgedAttempts {
 public:
  /** What the request's handler provides. */
  struct Host {
    std::function<AttemptParameters()> parameters;  ///< Of an attempt now.
    /** Callbacks of the current attempt. */
    std::function<Http1ClientConnection::ExchangeCallbacks()> callbacks;
    std::function<UpstreamAttempt*()> current;  ///< Null: none.
    /** Called when the second attempt has won and the current one is cancelled:
       the handler ends that, and calls Take() and Replay(). */
    std::function<void()> on_won;
  };

  /** @pre the referenced objects outlive this one. */
  HedgedAttempts(GatewayContext& context,
                 ExecutionCounter& execution_counter,
                 CrashGuard& crash_guard,
                 UpstreamNotices& upstream_notices,
                 std::vector<std::string>& tried_upstreams,
                 Host host);
  ~HedgedAttempts();

  HedgedAttempts(const HedgedAttempts&) = delete;
  auto operator=(const HedgedAttempts&) -> HedgedAttempts& = delete;

  //============================================================================
  // Commands

  /** Records that the current attempt is about to be sent. After the first one,
     the second attempt starts once the first is late. */
  auto OnSent() -> void;

  /** Records that the current attempt has answered: by its first event, or as a
     whole. Cancels the second attempt. */
  auto OnAnswered() -> void;

  /** Records that the upstream of an attempt did not execute it. */
  auto RecordRefusal() -> void;

  /** Hands the second attempt over as the current one. @pre is_running(). */
  [[nodiscard]] auto Take() -> std::unique_ptr<UpstreamAttempt>;

  /** Passes on what the second attempt has received, and from now on what it
     receives, to the callbacks of the current attempt. Call it after Take(). */
  auto Replay() -> void;

  /** Cancels the second attempt, as its request ends. Does nothing if none is
     running. */
  auto Cancel() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto is_running() const -> bool {
    return this->attempt != nullptr;
  }

  /** Returns whether a whole response with `status` of the current attempt is
     dropped, as the second attempt is running and may answer better. */
  [[nodiscard]] auto ReplacesAnswer(int status) const -> bool;

  /** Returns whether a whole response with `status` may be passed on: not one
     that states that the request was not executed, if a second attempt may have
     executed it. */
  [[nodiscard]] auto MayForward(int status) const -> bool;

 private:
  auto OnLate() -> void;
  [[nodiscard]] auto Decide(const AttemptParameters& parameters,
                            const UpstreamAttempt& current) -> HedgeDecision;
  auto Send(AttemptParameters& parameters) -> void;
  [[nodiscard]] auto MakeCallbacks()
      -> Http1ClientConnection::ExchangeCallbacks;

  auto OnHead(const Http1ResponseHead& head) -> void;
  auto OnBody(const std::string& bytes) -> void;
  auto OnDone(Http1Outcome outcome) -> void;
  [[nodiscard]] auto IsAnswer() const -> bool;
  auto Win() -> void;
  /** Ends the second attempt, while the current one goes on or is answered. */
  auto End(UpstreamResult result,
           std::string_view counter,
           std::string_view why) -> void;
  auto LogEnd(std::string_view event, std::string_view why) -> void;

  GatewayContext& context;
  ExecutionCounter& execution_counter;
  CrashGuard& crash_guard;
  UpstreamNotices& upstream_notices;
  std::vector<std::string>& tried_upstreams;
  Host host;
  std::unique_ptr<LoopTimer> timer;
  std::string first_upstream;  ///< Id of the first attempt's upstream.
  Duration delay{0};           ///< After which the first attempt is late.
  bool was_sent = false;
  bool has_answered = false;  ///< OnAnswered() was called.
  std::unique_ptr<UpstreamAttempt> attempt;
  std::optional<Http1ResponseHead> head;
  std::string received;                 ///< Of the body, until Replay().
  EventSplitter splitter;               ///< Finds the first event.
  std::optional<Http1Outcome> outcome;  ///< Set by a whole response.
  /** Of the current attempt, once the second one is it. */
  std::optional<Http1ClientConnection::ExchangeCallbacks> callbacks;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_HEDGED_ATTEMPTS_H_

#ifndef AL_ACTIONS_REFUSAL_H_
#define AL_ACTIONS_REFUSAL_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft {

/** Whether an upstream executed a request. The API writes `no`, `yes` or
 * `unknown` as `run` in an error body. */
enum class ExecutionState {
  kNotExecuted,  ///< Nothing was sent to an upstream.
  kExecuted,     ///< An upstream executed it.
  kUnknown,  ///< It was sent, but no response shows whether it was executed.
};

/** Error codes of the API. They are stable: callers depend on them. */
enum class RefusalCode {
  kBadRequest,         ///< The request is malformed.
  kUnauthorized,       ///< The bearer key belongs to no team.
  kNotFound,           ///< The path, model, service or call does not exist.
  kTooLarge,           ///< The header or body exceeds its size limit.
  kBudgetExhausted,    ///< The team's budget does not cover the request.
  kBudgetUnavailable,  ///< This router obtained no tokens in time, although the
                       ///< team may have some left.
  kNoUpstream,         ///< No upstream accepted the request in time.
  kUpstreamFailed,     ///< The upstream failed and the request is not retried.
  kDeadlineExceeded,   ///< The deadline of the request's class passed.
  kKeyExpired,  ///< The request was issued before the horizon, the oldest time
                ///< for which idempotency keys are kept.
  kIssueTimeRequired,  ///< An at-most-once request carries no issue time.
  kIssueTimeInFuture,  ///< The issue time is in the future.
  kInProgress,        ///< An at-most-once request with the same key is still in
                      ///< progress.
  kOutcomeUnknown,    ///< An at-most-once request may have been executed.
  kClaimUnavailable,  ///< The ledger did not reply, so the at-most-once request
                      ///< was not sent.
  kDraining,          ///< This router is draining and accepts no new requests.
  kNotReady,          ///< This router has not received a configuration yet.
};

/** The number of codes, for tables indexed by code. */
inline constexpr std::size_t kRefusalCodeCount = 17;

/** Why a router responds to a request with an error of its own. */
struct Refusal {
  RefusalCode code = RefusalCode::kBadRequest;
  ExecutionState execution = ExecutionState::kNotExecuted;
  std::string text;  ///< A sentence for the caller that states the cause.
  Duration retry_after{
      0};  ///< Wait before a retry; zero if a retry cannot succeed.
};

/** The code as written in the API, such as `budget_exhausted`. */
[[nodiscard]] auto ToText(RefusalCode code) -> std::string_view;

/** The state as written in the API: `no`, `yes` or `unknown`. */
[[nodiscard]] auto ToText(ExecutionState execution) -> std::string_view;

/** The HTTP status of a response with this code. */
[[nodiscard]] auto HttpStatusOf(RefusalCode code) -> int;

}  // namespace auburnloft

#endif  // AL_ACTIONS_REFUSAL_H_

#ifndef AL_ACTIONS_REFUSAL_H_
#define AL_ACTIONS_REFUSAL_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft {

/** Whether the work of a request was executed. */
enum class ExecutionState {
  kNotExecuted,  ///< Nothing was sent to an upstream.
  kExecuted,     ///< An upstream executed it.
  kUnknown,      ///< It was sent, and no answer tells what became of it.
};

/** The stable codes of the errors that callers see. */
enum class RefusalCode {
  kBadRequest,         ///< The request is malformed.
  kUnauthorized,       ///< The key names no team.
  kNotFound,           ///< No such path, model, service or call.
  kTooLarge,           ///< The header or body is over its limit.
  kBudgetExhausted,    ///< The team's budget does not cover the request.
  kBudgetUnavailable,  ///< No tokens could be had in time; they may exist.
  kNoUpstream,         ///< No upstream could take the work in time.
  kUpstreamFailed,     ///< The upstream failed, and the work is not repeated.
  kDeadlineExceeded,   ///< The class's deadline passed.
  kKeyExpired,         ///< The request was issued before the horizon.
  kIssueTimeRequired,  ///< An at-most-once request does not tell when it was
                       ///< issued.
  kIssueTimeInFuture,  ///< The stated time of issue lies ahead.
  kInProgress,         ///< Another run of an at-most-once request is under way.
  kOutcomeUnknown,     ///< An at-most-once request may have run.
  kClaimUnavailable,   ///< The ledger did not answer; an at-most-once request
                       ///< was not sent.
  kDraining,           ///< This router takes no new work.
  kNotReady,           ///< This router has no configuration yet.
};

/** The number of codes, for tables that are indexed by them. */
inline constexpr std::size_t kRefusalCodeCount = 17;

/** Why a request gets no answer of an upstream. */
struct Refusal {
  RefusalCode code = RefusalCode::kBadRequest;
  ExecutionState execution = ExecutionState::kNotExecuted;
  std::string text;  ///< A sentence that names what was wrong.
  Duration retry_after{
      0};  ///< When to come back; zero where that would not help.
};

/** The code as the API writes it, such as `budget_exhausted`. */
[[nodiscard]] auto ToText(RefusalCode code) -> std::string_view;

/** `no`, `yes` or `unknown`. */
[[nodiscard]] auto ToText(ExecutionState execution) -> std::string_view;

/** The HTTP status that goes with the code. */
[[nodiscard]] auto HttpStatusOf(RefusalCode code) -> int;

}  // namespace auburnloft

#endif  // AL_ACTIONS_REFUSAL_H_

#include "al_actions/refusal.h"

#include <array>

namespace auburnloft {

namespace {

struct RefusalRow {
  RefusalCode code;
  std::string_view text;
  int http_status;
};

constexpr std::array<RefusalRow, kRefusalCodeCount> kRefusals = {{
    {RefusalCode::kBadRequest, "bad_request", 400},
    {RefusalCode::kUnauthorized, "unauthorized", 401},
    {RefusalCode::kNotFound, "not_found", 404},
    {RefusalCode::kTooLarge, "too_large", 413},
    {RefusalCode::kBudgetExhausted, "budget_exhausted", 402},
    {RefusalCode::kBudgetUnavailable, "budget_unavailable", 503},
    {RefusalCode::kNoUpstream, "no_upstream", 503},
    {RefusalCode::kUpstreamFailed, "upstream_failed", 502},
    {RefusalCode::kDeadlineExceeded, "deadline_exceeded", 504},
    {RefusalCode::kKeyExpired, "key_expired", 409},
    {RefusalCode::kIssueTimeRequired, "issue_time_required", 400},
    {RefusalCode::kIssueTimeInFuture, "issue_time_in_future", 400},
    {RefusalCode::kInProgress, "in_progress", 409},
    {RefusalCode::kOutcomeUnknown, "outcome_unknown", 409},
    {RefusalCode::kClaimUnavailable, "claim_unavailable", 503},
    {RefusalCode::kDraining, "draining", 503},
    {RefusalCode::kNotReady, "not_ready", 503},
}};

auto RowOf(RefusalCode code) -> const RefusalRow& {
  return kRefusals.at(static_cast<std::size_t>(code));
}

constexpr auto RowsAreInCodeOrder() -> bool {
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    if (static_cast<std::size_t>(kRefusals[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsAreInCodeOrder());

}  // namespace

auto ToText(RefusalCode code) -> std::string_view {
  return RowOf(code).text;
}

auto HttpStatusOf(RefusalCode code) -> int {
  return RowOf(code).http_status;
}

auto ToText(ExecutionState execution) -> std::string_view {
  switch (execution) {
    case ExecutionState::kNotExecuted:
      return "no";
    case ExecutionState::kExecuted:
      return "yes";
    case ExecutionState::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace auburnloft

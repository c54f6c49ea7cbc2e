#ifndef PROGRAMS_SOAK_SOAK_CHECK_H_
#define PROGRAMS_SOAK_SOAK_CHECK_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "soak/soak_result.h"

namespace auburnloft::soak {

/** A run as an upstream noted it when it began. */
struct UpstreamExecution {
  std::int64_t at_ms = 0;  ///< Unix time.
  std::string upstream;
  std::string attempt;
};

/** What happened to the fleet, as the script noted it. */
struct SoakEvents {
  std::map<std::string, std::int64_t> left_at_ms;  ///< By upstream.
  std::map<std::string, std::uint64_t> prepaid;    ///< The last, by team.
  bool only_planned_work =
      false;  ///< No unplanned fault: nothing may be cut off.
};

/** Counts broken promises; each is told on standard error with its place. */
struct SoakReport {
  std::uint64_t requests = 0;
  std::uint64_t complete_responses = 0;
  std::uint64_t refused_not_executed = 0;
  std::uint64_t unknown_outcome = 0;
  std::uint64_t interrupted = 0;
  std::uint64_t overspend_tokens = 0;
  std::uint64_t double_executions = 0;
  std::uint64_t executed_after_refusal = 0;
  std::uint64_t mixed_responses = 0;
  std::uint64_t config_reversions = 0;
  std::uint64_t started_after_leaving = 0;
  bool only_planned_work = false;

  /** Whether a promise was broken. What is cut off breaks one only where no
      fault but planned work was played. */
  [[nodiscard]] auto has_violation() const -> bool;
  [[nodiscard]] auto ToJson() const -> nlohmann::json;
};

/** Reads `MILLIS UPSTREAM ATTEMPT` lines. */
[[nodiscard]] auto ReadExecutions(std::string_view text)
    -> std::vector<UpstreamExecution>;

/** Reads `left UPSTREAM MILLIS`, `prepaid TEAM TOKENS` and `planned` lines. */
[[nodiscard]] auto ReadEvents(std::string_view text) -> SoakEvents;

/** Checks what callers and upstreams saw. Reversions of the configuration are
    counted by the callers and are not in here. */
[[nodiscard]] auto Check(std::span<const RequestResult> results,
                         std::span<const UpstreamExecution> runs,
                         const SoakEvents& events) -> SoakReport;

}  // namespace auburnloft::soak

#endif  // PROGRAMS_SOAK_SOAK_CHECK_H_

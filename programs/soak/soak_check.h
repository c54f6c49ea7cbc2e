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

/** The start of an execution, as an upstream recorded it. */
struct UpstreamExecution {
  std::int64_t at_ms = 0;  ///< Unix time.
  std::string upstream;
  std::string request_id;
};

/** Events of the fleet, as the script `scripts/soak` recorded them. */
struct SoakEvents {
  std::map<std::string, std::int64_t>
      left_at_ms;  ///< Latest time at which an upstream announced that it
                   ///< leaves, in Unix time, by upstream.
  std::map<std::string, std::uint64_t>
      prepaid;  ///< Last recorded prepaid tokens, by team.
  bool only_planned_work =
      false;  ///< No unplanned faults: no response may be interrupted.
  bool only_restarts = false;  ///< Routers are restarted in turn, with streams
                               ///< that they cannot finish: most that are
                               ///< taken up have to go on.
};

/** Counts of results and of violated guarantees. Check() also writes each
 * violation to standard error, with the request, router, upstream or team. */
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
  std::uint64_t deadly_executions = 0;  ///< Of requests that crash upstreams.
  std::uint64_t deadly_over_bound = 0;  ///< As above, that were too many.
  std::uint64_t mixed_releases = 0;     ///< Streams that upstreams of several
                                        ///< releases wrote.
  std::uint64_t taken_up = 0;           ///< Streams that were taken up.
  std::uint64_t went_on = 0;            ///< As above, with events after that.
  std::uint64_t on_kept = 0;            ///< Requests on kept connections.
  std::uint64_t unanswered_on_kept =
      0;  ///< Of these, without a response; counted with planned work only.
  bool only_planned_work = false;
  bool only_restarts = false;

  /** Whether streams end as their routers are restarted: of those that are
   * taken up, fewer than half go on. All others begin. */
  [[nodiscard]] auto loses_streams() const -> bool;
  /** Whether a guarantee was violated or nothing was served. Interrupted
   * responses are a violation only if all events were planned work. */
  [[nodiscard]] auto has_violation() const -> bool;
  [[nodiscard]] auto ToJson() const -> nlohmann::json;
};

/** Reads `MILLIS UPSTREAM REQUEST_ID` lines. */
[[nodiscard]] auto ReadExecutions(std::string_view text)
    -> std::vector<UpstreamExecution>;

/** Reads `left UPSTREAM MILLIS`, `prepaid TEAM TOKENS`, `planned` and
 * `restarts` lines. */
[[nodiscard]] auto ReadEvents(std::string_view text) -> SoakEvents;

/** Compares the results of the callers with the records of the upstreams and
 * the events. Leaves `config_reversions` at 0, as SoakCallers counts these. */
[[nodiscard]] auto Check(std::span<const RequestResult> results,
                         std::span<const UpstreamExecution> executions,
                         const SoakEvents& events) -> SoakReport;

}  // namespace auburnloft::soak

#endif  // PROGRAMS_SOAK_SOAK_CHECK_H_

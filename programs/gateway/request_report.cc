#include "gateway/request_report.h"

namespace auburnloft::gateway {

auto LogRequest(DecisionLog& log, const RequestReport& report, Instant now)
    -> void {
  log.WriteLine(report.outcome == "served" ? DecisionLog::Severity::kRoutine
                                           : DecisionLog::Severity::kNotable,
                "request",
                {{"id", report.id},
                 {"outcome", report.outcome},
                 {"status", report.status},
                 {"why", report.why},
                 {"route", report.route},
                 {"team", report.team},
                 {"sends", report.attempts},
                 {"runs", report.executions},
                 {"events", report.events},
                 {"end", report.end},
                 {"reserved", report.reserved_tokens},
                 {"used", report.used_tokens},
                 {"available", report.available_tokens},
                 {"config", report.config_version},
                 {"first_ms", report.time_to_first_event},
                 {"ms", report.duration}},
                now);
}

}  // namespace auburnloft::gateway

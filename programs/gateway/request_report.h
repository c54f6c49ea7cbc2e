#ifndef GATEWAY_REQUEST_REPORT_H_
#define GATEWAY_REQUEST_REPORT_H_

#include <cstdint>
#include <string_view>

#include "al_core/time/instant.h"
#include "gateway/decision_log.h"

namespace auburnloft::gateway {

/** How a request ended, with what decided it, for the log. */
struct RequestReport {
  std::string_view id;
  std::string_view outcome;  ///< As docs/OPERATIONS.md lists them.
  int status = 0;            ///< 0: the caller got none.
  std::string_view why;
  std::string_view route = "-";
  std::string_view team = "-";
  int attempts = 0;
  int executions = 0;
  std::uint64_t events = 0;  ///< Passed on to the caller.
  std::uint64_t reserved_tokens = 0;
  std::uint64_t used_tokens = 0;
  std::uint64_t available_tokens = 0;  ///< Of the team here, after the request.
  std::uint64_t config_version = 0;
  Duration first_event_after{0};
  Duration took{0};
};

/** Writes the line `request`; one that was not served is notable. */
auto LogRequest(DecisionLog& log, const RequestReport& report, Instant now)
    -> void;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_REPORT_H_

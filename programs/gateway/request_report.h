#ifndef GATEWAY_REQUEST_REPORT_H_
#define GATEWAY_REQUEST_REPORT_H_

#include <cstdint>
#include <string_view>

#include "al_core/time/instant.h"
#include "gateway/decision_log.h"

namespace auburnloft::gateway {

/** How a request ended and why, for the decision log. */
struct RequestReport {
  std::string_view id;
  std::string_view outcome;  ///< One of those in docs/OPERATIONS.md.
  int status = 0;            ///< 0: no response was sent.
  std::string_view why;
  std::string_view route = "-";
  std::string_view team = "-";
  int attempts = 0;
  int executions = 0;
  std::uint64_t events = 0;    ///< Forwarded to the caller.
  std::string_view end = "-";  ///< What marked the end of the upstream's
                               ///< response: `framing` (a length or the last
                               ///< chunk) or `close` (of the connection).
  std::uint64_t reserved_tokens = 0;
  std::uint64_t used_tokens = 0;
  std::uint64_t available_tokens = 0;  ///< Of the team in this router, after
                                       ///< the request.
  std::uint64_t config_version = 0;
  Duration time_to_first_event{0};
  Duration duration{0};
};

/** Writes the line `request`, as notable unless the request was served. */
auto LogRequest(DecisionLog& log, const RequestReport& report, Instant now)
    -> void;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_REPORT_H_

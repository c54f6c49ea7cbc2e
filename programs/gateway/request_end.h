#ifndef GATEWAY_REQUEST_END_H_
#define GATEWAY_REQUEST_END_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

class EventSplitter;
class ExecutionCounter;
class RequestBudget;
class RouteTable;
struct GatewayContext;
struct RequestMetadata;
struct RouteRule;
struct TeamRule;

/** The state of a request at its end. @pre the referenced objects outlive it.
 */
struct RequestProgress {
  const RequestMetadata& metadata;
  const RouteTable* table = nullptr;  ///< Null before the first configuration.
  const RouteRule* route = nullptr;   ///< Null if the request has none.
  const TeamRule* team = nullptr;     ///< Null if the request has none.
  const std::string& service;
  const ExecutionCounter& execution_counter;
  const EventSplitter& event_splitter;
  std::string_view response_end;  ///< As RequestReport::end.
  Duration time_to_first_event{0};
  Instant arrived_at{};
};

/** Settles the tokens of a request that has ended, counts it and writes its
   report. Call it once for each request.
    @param outcome  one of those in docs/OPERATIONS.md.
    @param status   0 if no response was sent. */
auto ReportEnd(GatewayContext& context,
               const RequestProgress& progress,
               RequestBudget& budget,
               std::string_view outcome,
               int status,
               std::string_view why) -> void;

/** Returns the number of output tokens in each event of a stream of `service`.
 */
[[nodiscard]] auto TokensPerEvent(const RouteTable& table,
                                  std::string_view service) -> std::uint64_t;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_REQUEST_END_H_

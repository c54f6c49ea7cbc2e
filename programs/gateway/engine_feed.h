#ifndef GATEWAY_ENGINE_FEED_H_
#define GATEWAY_ENGINE_FEED_H_

#include <optional>

#include "al_gateway/upstreams/engine_report.h"

namespace auburnloft::wire {
class EngineStates;
class UpstreamFeedAsk;
}  // namespace auburnloft::wire

/** The wire format of what routers tell each other about engines. */
namespace auburnloft::gateway {

/** Adds a report to a request for upstream updates. */
auto AddToAsk(const EngineReport& report, wire::UpstreamFeedAsk& message)
    -> void;

/** Reads the report in a request for upstream updates.
    @return none if the request is of a router that reports nothing. */
[[nodiscard]] auto ReadEngineReport(const wire::UpstreamFeedAsk& message)
    -> std::optional<EngineReport>;

auto ToWire(const EngineNews& news, wire::EngineStates& message) -> void;

/** @return none if the lists are not of equal length. */
[[nodiscard]] auto FromWire(const wire::EngineStates& message)
    -> std::optional<EngineNews>;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_ENGINE_FEED_H_

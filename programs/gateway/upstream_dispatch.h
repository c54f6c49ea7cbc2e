#ifndef GATEWAY_UPSTREAM_DISPATCH_H_
#define GATEWAY_UPSTREAM_DISPATCH_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "al_gateway/model/request_metadata.h"
#include "al_gateway/routing/route_table.h"
#include "al_http1/http1_message.h"
#include "gateway/gateway_context.h"
#include "gateway/upstream_attempt.h"

namespace auburnloft::gateway {

/** The parameters of one attempt. @pre the referenced objects outlive it. */
struct AttemptParameters {
  const Http1Request& request;
  const RequestMetadata& metadata;
  const RouteTable& table;
  const RouteRule& route;
  const TeamRule* team = nullptr;  ///< Null if the request has none.
  const std::string& service;
  std::span<const std::string> tried_upstreams;  ///< By id; not chosen again.
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;  ///< Of the last event received,
                                               ///< to resume a stream.
  /** At which the stream has to go on; see ChoiceQuery. */
  std::optional<std::string_view> version;
  bool may_have_run = false;  ///< At an upstream of an earlier attempt.
  int attempt_number = 1;     ///< Counts the attempts of the request from 1.
};

/** Chooses an upstream for the attempt and acquires a connection to it.
    @return null if no upstream is available. */
[[nodiscard]] auto OpenAttempt(GatewayContext& context,
                               const AttemptParameters& parameters)
    -> std::unique_ptr<UpstreamAttempt>;

/** Returns the most connections of this router to one upstream of the service:
    its equal share of the service's limit, or for plain services, if admission
   is on, a share that follows its demand. */
[[nodiscard]] auto ConnectionBound(const GatewayContext& context,
                                   const AttemptParameters& parameters) -> int;

/** Returns the upstream that OpenAttempt() would choose, if connections are
   available, with its estimates. @return none if there is none. */
[[nodiscard]] auto FindUpstream(GatewayContext& context,
                                const AttemptParameters& parameters)
    -> std::optional<UpstreamChoice>;

/** Returns whether there is an upstream that OpenAttempt() could choose. A slow
   attempt is given up only if there is another one. */
[[nodiscard]] auto HasUpstream(GatewayContext& context,
                               const AttemptParameters& parameters) -> bool;

/** Serializes the request for the upstream of `attempt`, and logs the attempt.
 */
[[nodiscard]] auto SerializeForAttempt(GatewayContext& context,
                                       const AttemptParameters& parameters,
                                       const UpstreamAttempt& attempt)
    -> std::string;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_DISPATCH_H_

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

/** What one send of a request depends on. Refers to its request. */
struct SendQuery {
  const Http1Request& request;
  const RequestMetadata& facts;
  const RouteTable& table;
  const RouteRule& route;
  const TeamRule* team = nullptr;  ///< Null: none.
  const std::string& service;
  std::span<const std::string> tried;  ///< Upstreams that had their turn.
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;  ///< Where a stream goes on.
  int number = 1;                              ///< Of the request's sends.
};

/** Chooses the upstream of a send and opens a connection to it.
    @return null where no upstream can take it. */
[[nodiscard]] auto OpenAttempt(GatewayContext& context, const SendQuery& query)
    -> std::unique_ptr<UpstreamAttempt>;

/** The bytes of a request for the upstream of `attempt`; logs the send. */
[[nodiscard]] auto BytesFor(GatewayContext& context,
                            const SendQuery& query,
                            const UpstreamAttempt& attempt) -> std::string;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_DISPATCH_H_

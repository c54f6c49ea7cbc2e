#ifndef AL_GATEWAY_ROUTING_ADMISSION_H_
#define AL_GATEWAY_ROUTING_ADMISSION_H_

#include <string_view>
#include <variant>

#include "al_core/time/instant.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/routing/route_table.h"

namespace auburnloft::gateway {

/** The rules for a request that the configuration allows. The pointers are
   valid as long as the RouteTable exists. */
struct Admission {
  const RouteRule* route = nullptr;
  const TeamRule* team = nullptr;  ///< Null if the request has no team.
};

/** A response that the router creates itself. */
struct LocalResponse {
  int status = 0;
  std::string_view why;     ///< Reason of the status; a string literal.
  Duration retry_after{0};  ///< 0: no Retry-After header.
};

/** Retry-After time of a refusal with status 503. By then, requests of the kind
   that occupies the upstreams' slots have ended. */
inline constexpr Duration kUnavailableRetryAfter =
    std::chrono::milliseconds(300);

/** Retry-After time of a refusal by a router that stops. Another router can
   serve the request as soon as the caller has connected there. */
inline constexpr Duration kShutdownRetryAfter = std::chrono::milliseconds(50);

/** Decides whether a request is forwarded or refused.
    @param table  null before the first configuration was received.
    @return the rules for the request, or the refusal to send. */
[[nodiscard]] auto Admit(const RouteTable* table,
                         const RequestMetadata& request)
    -> std::variant<Admission, LocalResponse>;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ROUTING_ADMISSION_H_

#ifndef AL_GATEWAY_ROUTING_ADMISSION_H_
#define AL_GATEWAY_ROUTING_ADMISSION_H_

#include <string_view>
#include <variant>

#include "al_core/time/instant.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/routing/route_table.h"

namespace auburnloft::gateway {

/** A request that the configuration allows. Lives as long as its table. */
struct Admission {
  const RouteRule* route = nullptr;
  const TeamRule* team = nullptr;  ///< Null where it needs none.
};

/** An answer of the router's own. */
struct LocalResponse {
  int status = 0;
  std::string_view why;     ///< For the log; a constant.
  Duration retry_after{0};  ///< 0: none.
};

/** When a caller is to come back that is refused for want of room: work of the
   kind that fills the slots has ended by then. */
inline constexpr Duration kUnavailableRetryAfter =
    std::chrono::milliseconds(300);

/** Decides whether a request may go on. @param table  null before the first
   configuration. */
[[nodiscard]] auto Admit(const RouteTable* table, const RequestMetadata& facts)
    -> std::variant<Admission, LocalResponse>;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ROUTING_ADMISSION_H_

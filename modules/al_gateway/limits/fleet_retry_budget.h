#ifndef AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_
#define AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The bound on repeated sends that all routers share. */
struct FleetRetryLimit {
  double ratio = 0.2;           ///< Repeats for each request of a window.
  double extra_retries = 50.0;  ///< Repeats beyond that, of the whole fleet.
  int window_seconds = 10;
};

/** This router's share of the fleet's bound on repeated sends, by service.

    The share of the ratio follows the router's own requests; the slack is split
   evenly. A part is left unused, as the windows of the bound slide and routers
   come and go.

    Thread safety: none; used on one thread.
*/
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryLimit& bound) : limits(bound) {}

  FleetRetryBudget(const FleetRetryBudget&) = delete;
  auto operator=(const FleetRetryBudget&) -> FleetRetryBudget& = delete;

  //============================================================================
  // Commands

  /** A request for `service` came from a caller. */
  auto RecordRequest(std::string_view service, Instant now) -> void;

  /** Takes one repeat. @param routers  alive in the fleet, at least 1.
      @return false where the share is used up. */
  [[nodiscard]] auto TryTake(std::string_view service, int routers, Instant now)
      -> bool;

 private:
  static constexpr std::size_t kMostSeconds = 64;

  struct Second {
    std::int64_t number = -1;
    int requests = 0;
    int repeats = 0;
  };
  using Window = std::array<Second, kMostSeconds>;

  auto At(std::string_view service, Instant now) -> Second&;

  FleetRetryLimit limits;
  std::unordered_map<std::string, Window> windows;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_

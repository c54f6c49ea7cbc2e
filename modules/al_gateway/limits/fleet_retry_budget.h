#ifndef AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_
#define AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The limit of retries that all routers share. */
struct FleetRetryLimit {
  double ratio = 0.2;           ///< Retries per request of a window.
  double extra_retries = 50.0;  ///< Added to that, for the whole fleet.
  int window_seconds = 10;      ///< Length of the sliding window; at most 63.
};

/** This router's share of the fleet's retry limit, for each service.

    The ratio applies to the router's own requests; the extra retries are split
   evenly among the active routers. A part of the share stays unused, because
   the windows slide and routers join and leave.

    Thread safety: none; used on one thread.
*/
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryLimit& limits) : limits(limits) {}

  FleetRetryBudget(const FleetRetryBudget&) = delete;
  auto operator=(const FleetRetryBudget&) -> FleetRetryBudget& = delete;

  //============================================================================
  // Commands

  /** Records a request for `service` from a caller. */
  auto RecordRequest(std::string_view service, Instant now) -> void;

  /** Takes one retry from the share.
      @param routers  active routers of the fleet; at least 1.
      @return false if the share is used up. */
  [[nodiscard]] auto TryTake(std::string_view service, int routers, Instant now)
      -> bool;

 private:
  static constexpr std::size_t kMaxSeconds = 64;

  struct Second {
    std::int64_t number = -1;
    int requests = 0;
    int retries = 0;
  };
  using Window = std::array<Second, kMaxSeconds>;

  /** Returns the current second's counters; clears those of an older second. */
  auto CountersAt(std::string_view service, Instant now) -> Second&;

  FleetRetryLimit limits;
  std::unordered_map<std::string, Window> windows;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_FLEET_RETRY_BUDGET_H_

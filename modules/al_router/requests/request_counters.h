#ifndef AL_ROUTER_REQUESTS_REQUEST_COUNTERS_H_
#define AL_ROUTER_REQUESTS_REQUEST_COUNTERS_H_

#include <array>
#include <cstdint>

#include "al_actions/refusal.h"

namespace auburnloft {

/** Counts of a router's requests since it started, by result. */
struct RequestCounters {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t replayed =
      0;  ///< Ended with the stored response of an earlier execution.
  std::uint64_t upstream_sends =
      0;  ///< First attempts, retries and stream resumptions.
  std::uint64_t retries = 0;
  std::uint64_t resumptions = 0;
  std::uint64_t caller_disconnects = 0;
  std::uint64_t waited_for_tokens = 0;
  std::array<std::uint64_t, kRefusalCodeCount> refused{};
};

}  // namespace auburnloft

#endif  // AL_ROUTER_REQUESTS_REQUEST_COUNTERS_H_

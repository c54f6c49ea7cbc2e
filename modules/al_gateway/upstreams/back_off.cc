#include "al_gateway/upstreams/back_off.h"

#include <algorithm>

#include "al_gateway/model/request_metadata.h"
#include "al_gateway/routing/admission.h"

namespace auburnloft::gateway {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/** Longest back-off. An upstream that wants none for longer takes itself out of
   the service, and leaves its record. */
constexpr Duration kMaxBackOff = std::chrono::minutes(10);

/** Callers return within this part of the wait after its end. */
constexpr double kSpreadFraction = 0.5;

}  // namespace

auto BackOffEnd(const ResponseMetadata& response, Instant now)
    -> std::optional<Instant> {
  if (response.status != kUnavailable && response.status != kTooManyRequests) {
    return std::nullopt;
  }
  Duration wait{0};
  if (response.retry_after) {
    wait = *response.retry_after;
  } else if (response.retry_at) {
    wait = *response.retry_at - now;
  }
  return wait.count() > 0 ? std::optional(now + std::min(wait, kMaxBackOff))
                          : std::nullopt;
}

auto BackOffRetryAfter(Duration wait, double random) -> Duration {
  const Duration least = std::max(wait, kUnavailableRetryAfter);
  return least +
         Duration(static_cast<std::int64_t>(static_cast<double>(least.count()) *
                                            kSpreadFraction * random));
}

}  // namespace auburnloft::gateway

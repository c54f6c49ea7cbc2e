#ifndef AL_GATEWAY_UPSTREAMS_BACK_OFF_H_
#define AL_GATEWAY_UPSTREAMS_BACK_OFF_H_

#include <optional>

#include "al_core/time/instant.h"

/** What follows from a Retry-After header of an upstream. */
namespace auburnloft::gateway {

struct ResponseMetadata;

/** Returns until when an upstream wants no requests, from a response that
   turned a request away (status 429 or 503). A time that is not in the future
   has no effect, and a very long one is limited.
    @return none if the response asks for nothing, or not in a valid way. */
[[nodiscard]] auto BackOffEnd(const ResponseMetadata& response, Instant now)
    -> std::optional<Instant>;

/** Returns the Retry-After time for a request whose upstreams all want no
   requests.
    @param wait    until the first of them wants requests again.
    @param random  in [0, 1); spreads the callers, so that they do not return
                   together. */
[[nodiscard]] auto BackOffRetryAfter(Duration wait, double random) -> Duration;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_BACK_OFF_H_

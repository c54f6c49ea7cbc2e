#ifndef GATEWAY_UPSTREAM_NOTICES_H_
#define GATEWAY_UPSTREAM_NOTICES_H_

#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

class UpstreamAttempt;
struct GatewayContext;

/** Records what upstreams say about themselves in the heads of responses: that
   they are leaving, that they want no requests for a time, and how many
   requests a second they take.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamNotices {
 public:
  /** @pre `context` outlives this object. */
  explicit UpstreamNotices(GatewayContext& context) : context(context) {}

  UpstreamNotices(const UpstreamNotices&) = delete;
  auto operator=(const UpstreamNotices&) -> UpstreamNotices& = delete;

  //============================================================================
  // Commands

  /** Records what the head of the attempt's response says, and logs news.
      @pre the head is set.
      @param id  the attempt id of the caller, for the log. */
  auto Record(const UpstreamAttempt& attempt, std::string_view id) -> void;

  /** Returns when a request that no upstream of `service` takes may come back,
     spread at random over callers. */
  [[nodiscard]] auto RetryAfter(std::string_view service) -> Duration;

 private:
  auto RecordLeaving(const UpstreamAttempt& attempt, std::string_view id)
      -> void;
  auto RecordBackOff(const UpstreamAttempt& attempt, std::string_view id)
      -> void;
  /** Records the limit that the head names, or its end. */
  auto RecordLimit(const UpstreamAttempt& attempt, std::string_view id) -> void;

  GatewayContext& context;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_NOTICES_H_

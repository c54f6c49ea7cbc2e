#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** One process of an upstream. */
struct UpstreamProcess {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 if unknown.

  auto operator<=>(const UpstreamProcess&) const = default;
};

/** The limits that upstreams named in their responses: the requests a second
   that an upstream takes from all routers together, for as long as its
   responses say so.

    Thread safety: none; used on one thread.
*/
class UpstreamLimits {
 public:
  /** What changed, for the log. */
  enum class Change { kNone, kNamed, kChanged, kEnded };

  UpstreamLimits() = default;

  UpstreamLimits(const UpstreamLimits&) = delete;
  auto operator=(const UpstreamLimits&) -> UpstreamLimits& = delete;

  /** Records what a response says about the limit.
      @param limit    requests a second; none if the response names no limit.
      @param sent_at  when the request was sent. A limit ends only with the
                      response to a request that was sent after the limit was
                      last named, as responses may overtake each other. */
  auto Record(const UpstreamProcess& upstream,
              std::optional<double> limit,
              Instant sent_at,
              Instant now) -> Change;

 private:
  struct Limit {
    double per_second = 0.0;
    Instant named_at{};  ///< By the newest response.
  };

  std::map<UpstreamProcess, Limit> limits;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_

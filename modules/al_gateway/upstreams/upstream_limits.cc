#include "al_gateway/upstreams/upstream_limits.h"

namespace auburnloft::gateway {

auto UpstreamLimits::Record(const UpstreamProcess& upstream,
                            std::optional<double> limit,
                            Instant sent_at,
                            Instant now) -> Change {
  const auto found = this->limits.find(upstream);
  if (!limit) {
    if (found == this->limits.end() || sent_at <= found->second.named_at) {
      return Change::kNone;
    }
    this->limits.erase(found);
    return Change::kEnded;
  }
  if (found == this->limits.end()) {
    this->limits[upstream] = {*limit, now};
    return Change::kNamed;
  }
  found->second.named_at = now;
  if (found->second.per_second == *limit) {
    return Change::kNone;
  }
  found->second.per_second = *limit;
  return Change::kChanged;
}

}  // namespace auburnloft::gateway

#include "al_gateway/upstreams/pace_ranking.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <vector>

namespace auburnloft::gateway {

namespace {

/** Weight of the time to the first event where the time per token is known,
   which queues that this router does not see do not change, and the maximum
   difference that counts: together less than half a step of the pace. */
constexpr double kFirstEventWeight = 0.25;
constexpr double kMaxFirstEventDifference = 0.4;

/** Maximum slowdown that is attributed to one more stream, as a logarithm. In a
   small fleet one stream of this router stands for one of each router. */
constexpr double kMaxStreamSlope = 0.2;

struct Observed {
  UpstreamState* upstream = nullptr;
  std::optional<double> first_event;  ///< Logarithms.
  std::optional<double> per_token;
};

/** Returns by how much one more stream raises the logarithm of the time per
   token, from all engines together. */
auto StreamSlope(std::span<const UpstreamDirectory::State> upstreams)
    -> double {
  double variance = 0.0;
  double covariance = 0.0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    variance += upstream->engine_pace().stream_sums().variance;
    covariance += upstream->engine_pace().stream_sums().covariance;
  }
  return variance <= 0.0
             ? 0.0
             : std::clamp(covariance / variance, 0.0, kMaxStreamSlope);
}

/** Returns the median of one kind of observations; none of fewer than two. */
auto MedianOf(std::span<const Observed> all,
              std::optional<double> Observed::*kind) -> std::optional<double> {
  std::vector<double> values;
  values.reserve(all.size());
  for (const Observed& item : all) {
    if (item.*kind) {
      values.push_back(*(item.*kind));
    }
  }
  if (values.size() < 2) {
    return std::nullopt;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

auto RankPaces(std::span<const UpstreamDirectory::State> upstreams, Instant now)
    -> void {
  const double slope = StreamSlope(upstreams);
  std::vector<Observed> all;
  all.reserve(upstreams.size());
  for (const UpstreamDirectory::State& upstream : upstreams) {
    const EnginePace& pace = upstream->engine_pace();
    Observed item{upstream.get(), pace.LogFirstEvent(now),
                  pace.LogPerToken(now)};
    if (item.per_token) {
      *item.per_token -= slope * pace.mean_streams();
    }
    all.push_back(item);
  }
  const auto first_event = MedianOf(all, &Observed::first_event);
  const auto per_token = MedianOf(all, &Observed::per_token);
  for (const Observed& item : all) {
    std::optional<double> relative;
    if (first_event && item.first_event) {
      relative = *item.first_event - *first_event;
    }
    if (per_token && item.per_token) {
      const double by_tokens = *item.per_token - *per_token;
      const double difference = relative.value_or(by_tokens) - by_tokens;
      relative =
          by_tokens + kFirstEventWeight * std::clamp(difference,
                                                     -kMaxFirstEventDifference,
                                                     kMaxFirstEventDifference);
    }
    item.upstream->UpdatePace(relative, now);
  }
}

}  // namespace auburnloft::gateway

#include "al_gateway/hedging/hedge_delay.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

namespace {

namespace bh = boost::histogram;

/** Bins of 12%, from a millisecond to a hundred seconds: 0.8 KB for a route. */
constexpr unsigned int kBinsPerDecade = 20;
constexpr unsigned int kDecades = 5;
constexpr double kMinSeconds = 1e-3;
constexpr double kMaxSeconds = 1e2;

/** Half-life of a time in the histogram, in seconds: long enough for the
   samples of a router that sees one request of a route in two seconds, short
   against the minutes in which load changes over a day. */
constexpr double kHalfLifeSeconds = 60.0;

/** Sum of the weights from which the histogram is used: with fewer samples, the
   highest of them is no estimate of a high quantile. */
constexpr double kMinSamples = 20.0;

/** Fraction of the latency objective that replaces the quantile before that: a
   second attempt that starts then can still meet the objective. */
constexpr double kObjectiveFraction = 0.5;

/** Shortest delay. Round trips between failure domains and a busy loop of a
   small VM take up to some 10 ms, which says nothing about the upstream. */
constexpr Duration kMinDelay = std::chrono::milliseconds(20);

/** Routes with a histogram, together 0.8 MB. */
constexpr std::size_t kMaxRoutes = 1'000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram_with(
      bh::dense_storage<double>(),
      Axis(kBinsPerDecade * kDecades, kMinSeconds, kMaxSeconds));
}

auto DecayFactor(Instant since, Instant now) -> double {
  return std::exp2(-std::max(0.0, ToSeconds(now - since)) / kHalfLifeSeconds);
}

}  // namespace

struct HedgeDelay::Samples {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  double total = 0.0;  ///< Sum of the weights at `updated_at`.
  Instant updated_at{};
};

HedgeDelay::HedgeDelay(double quantile) : quantile(quantile) {}

HedgeDelay::~HedgeDelay() = default;

auto HedgeDelay::Record(const RouteRule& route, Duration latency, Instant now)
    -> void {
  if (this->by_route.size() >= kMaxRoutes &&
      !this->by_route.contains(route.name)) {
    this->RemoveUnused(now);
    if (this->by_route.size() >= kMaxRoutes) {
      return;
    }
  }
  std::unique_ptr<Samples>& samples = this->by_route[route.name];
  if (samples == nullptr) {
    samples = std::make_unique<Samples>();
    samples->updated_at = now;
  }
  const double factor = DecayFactor(samples->updated_at, now);
  samples->histogram *= factor;
  samples->histogram(std::clamp(ToSeconds(latency), kMinSeconds, kMaxSeconds));
  samples->total = samples->total * factor + 1.0;
  samples->updated_at = now;
}

auto HedgeDelay::DelayOf(const RouteRule& route, Instant now) const
    -> Duration {
  const auto found = this->by_route.find(route.name);
  if (found == this->by_route.end() ||
      found->second->total * DecayFactor(found->second->updated_at, now) <
          kMinSamples) {
    return std::max(kMinDelay,
                    Duration(static_cast<std::int64_t>(
                        static_cast<double>(route.latency_objective.count()) *
                        kObjectiveFraction)));
  }
  const Samples& samples = *found->second;
  const double target = this->quantile * samples.total;
  double cumulative = 0.0;
  for (const auto& bin : bh::indexed(samples.histogram, bh::coverage::all)) {
    cumulative += *bin;
    if (cumulative >= target) {
      constexpr double kMicrosPerSecond = 1e6;
      return std::max(kMinDelay, Duration(static_cast<std::int64_t>(
                                     std::min(bin.bin().upper(), kMaxSeconds) *
                                     kMicrosPerSecond)));
    }
  }
  return std::chrono::seconds(static_cast<std::int64_t>(kMaxSeconds));
}

auto HedgeDelay::RemoveUnused(Instant now) -> void {
  std::erase_if(this->by_route, [now](const auto& item) {
    return item.second->total * DecayFactor(item.second->updated_at, now) < 1.0;
  });
}

}  // namespace auburnloft::gateway

#include "al_gateway/upstreams/others_estimate.h"

namespace auburnloft::gateway {

namespace {

/** Squared coefficient of variation of the load of engines: that of loads
   between half and twice the mean. */
constexpr double kLoadVariation = 0.5;

/** Reports in a mean that tell of different requests. */
constexpr double kLooks = 4.0;

/** Tokens of a request that waits for its first event, to count requests:
   the mean of the long prompts of the sites. */
constexpr double kWaitingTokens = 4'000.0;

/** Returns the share of an engine's difference from the mean that is not
   chance, given that requests are spread at random over the routers.
    @param mean_requests  observed at an engine. */
auto Reliability(double mean_requests, double fraction) -> double {
  const double signal = mean_requests * kLooks * kLoadVariation;
  return signal <= 0.0 ? 0.0 : signal / (signal + 1.0 - fraction);
}

}  // namespace

auto EstimateOthers(std::span<const UpstreamDirectory::State> upstreams,
                    double fraction) -> void {
  EngineLoad mean;
  double engines = 0.0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (upstream->others().at != Instant() && upstream->is_serving()) {
      const EngineLoad& observed = upstream->others().smoothed;
      mean.generations += observed.generations;
      mean.prefill_tokens += observed.prefill_tokens;
      mean.memory_tokens += observed.memory_tokens;
      engines += 1.0;
    }
  }
  if (engines == 0.0 || fraction <= 0.0) {
    return;
  }
  mean.generations /= engines;
  mean.prefill_tokens /= engines;
  mean.memory_tokens /= engines;
  const double running = Reliability(mean.generations, fraction);
  const double waiting =
      Reliability(mean.prefill_tokens / kWaitingTokens, fraction);
  const auto estimate = [fraction](double mean, double observed,
                                   double reliability) {
    return (mean + reliability * (observed - mean)) / fraction;
  };
  for (const UpstreamDirectory::State& upstream : upstreams) {
    const EngineLoad& observed = upstream->others().smoothed;
    upstream->SetOthersEstimate(
        {estimate(mean.generations, observed.generations, running),
         estimate(mean.prefill_tokens, observed.prefill_tokens, waiting),
         estimate(mean.memory_tokens, observed.memory_tokens, running)});
  }
}

}  // namespace auburnloft::gateway

#include "support/engine_model.h"

#include <algorithm>

namespace auburnloft::testing {

namespace {

constexpr Duration kNoiseInterval = std::chrono::milliseconds(600);
constexpr double kNoise = 2.5;
constexpr double kPrefillMsPerToken = 0.02;
constexpr double kBaseMs = 5.0;
constexpr double kTokenMs = 5.0;
constexpr double kSlowdownPerStream = 0.02;

/** How long a part stays in the prefix cache without being used. */
constexpr Duration kCachedPeriod = std::chrono::seconds(10);

auto FromMillis(double millis) -> Duration {
  constexpr double kMicrosPerMilli = 1000.0;
  return Duration(static_cast<std::int64_t>(millis * kMicrosPerMilli));
}

}  // namespace

auto EngineModel::NoiseAt(Instant now) -> double {
  const auto [item, is_new] =
      this->noise.try_emplace(now.time_since_epoch() / kNoiseInterval, 1.0);
  if (is_new && this->random.Bernoulli(this->noise_share)) {
    item->second = kNoise;
  }
  return item->second;
}

auto EngineModel::Uncached(const gateway::GenerationMetadata& prompt,
                           Instant now) const -> double {
  auto tokens = static_cast<double>(prompt.prompt_tokens);
  for (const gateway::PromptPart& part : prompt.parts) {
    const auto found = this->used_at.find(part.id);
    if (found == this->used_at.end() || now - found->second >= kCachedPeriod) {
      break;
    }
    tokens -= part.tokens;
  }
  return std::max(0.0, tokens);
}

auto EngineModel::FirstEventAt(const gateway::GenerationMetadata& prompt,
                               Instant now) const -> Instant {
  return std::max(now, this->free_at) +
         FromMillis(
             (this->Uncached(prompt, now) * kPrefillMsPerToken + kBaseMs) *
             this->factor);
}

auto EngineModel::Begin(const gateway::GenerationMetadata& prompt, Instant now)
    -> Instant {
  // The prompt is processed at the pace of each interval that it lasts.
  double left_ms = this->Uncached(prompt, now) * kPrefillMsPerToken;
  this->free_at = std::max(now, this->free_at);
  while (left_ms > 0.0) {
    const double pace = this->factor * this->NoiseAt(this->free_at);
    const Duration until_change =
        kNoiseInterval - this->free_at.time_since_epoch() % kNoiseInterval;
    const Duration needed = std::max(Duration(1), FromMillis(left_ms * pace));
    const Duration spent = std::min(needed, until_change);
    constexpr double kMillisPerSecond = 1000.0;
    left_ms -= ToSeconds(spent) * kMillisPerSecond / pace;
    this->free_at += spent;
    if (spent == needed) {
      break;
    }
  }
  for (const gateway::PromptPart& part : prompt.parts) {
    this->used_at[part.id] = now;
  }
  ++this->streams;
  return this->free_at +
         FromMillis(kBaseMs * this->factor * this->NoiseAt(this->free_at));
}

auto EngineModel::PerToken(Instant now) -> Duration {
  return FromMillis(kTokenMs * this->factor * this->NoiseAt(now) *
                    (1.0 + kSlowdownPerStream * this->streams));
}

}  // namespace auburnloft::testing

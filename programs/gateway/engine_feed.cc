#include "gateway/engine_feed.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet.pb.h"

namespace auburnloft::gateway {

namespace {

constexpr double kPercent = 100.0;

/** Steps of the tokens in EngineStates; those of EngineLoadTable. */
constexpr std::uint32_t kPrefillStep = 256;
constexpr std::uint32_t kMemoryStep = 1'024;

/** Returns the product, or the highest number if it is above that. */
auto Scale(std::uint32_t steps, std::uint32_t step) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      std::uint64_t{steps} * step, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

auto AddToAsk(const EngineReport& report, wire::UpstreamFeedAsk& message)
    -> void {
  message.set_engine_reporter(report.reporter);
  message.set_engine_samples_whole(report.whole);
  for (const EngineSample& sample : report.samples) {
    wire::EngineSample& item = *message.add_engine_samples();
    item.set_engine(sample.engine);
    item.set_generations(sample.generations);
    item.set_prefill_tokens(sample.prefill_tokens);
    item.set_memory_tokens(sample.memory_tokens);
    if (sample.pace.first_event) {
      item.set_first_event_percent(static_cast<std::uint32_t>(
          std::lround(*sample.pace.first_event * kPercent)));
    }
    if (sample.pace.per_token) {
      item.set_per_token_us(
          static_cast<std::uint32_t>(sample.pace.per_token->count()));
    }
  }
}

auto ReadEngineReport(const wire::UpstreamFeedAsk& message)
    -> std::optional<EngineReport> {
  if (message.engine_reporter() == 0) {
    return std::nullopt;
  }
  EngineReport report;
  report.reporter = message.engine_reporter();
  report.whole = message.engine_samples_whole();
  for (const wire::EngineSample& item : message.engine_samples()) {
    EngineSample& sample = report.samples.emplace_back();
    sample.engine = item.engine();
    sample.generations = item.generations();
    sample.prefill_tokens = item.prefill_tokens();
    sample.memory_tokens = item.memory_tokens();
    if (item.first_event_percent() > 0) {
      sample.pace.first_event = item.first_event_percent() / kPercent;
    }
    if (item.per_token_us() > 0) {
      sample.pace.per_token = Duration(item.per_token_us());
    }
  }
  return report;
}

auto ToWire(const EngineNews& news, wire::EngineStates& message) -> void {
  message.set_newest(news.newest);
  message.set_whole(news.whole);
  message.set_reporters(news.reporters);
  for (const EngineState& state : news.states) {
    message.add_engines(state.engine);
    message.add_generations(state.generations);
    message.add_prefill_steps(state.prefill_tokens / kPrefillStep);
    message.add_memory_steps(state.memory_tokens / kMemoryStep);
    message.add_pace_percents(state.pace_percent);
  }
}

auto FromWire(const wire::EngineStates& message) -> std::optional<EngineNews> {
  const int count = message.engines_size();
  if (message.generations_size() != count ||
      message.prefill_steps_size() != count ||
      message.memory_steps_size() != count ||
      message.pace_percents_size() != count) {
    return std::nullopt;
  }
  EngineNews news;
  news.newest = message.newest();
  news.whole = message.whole();
  news.reporters = message.reporters();
  for (int i = 0; i < count; ++i) {
    news.states.push_back({message.engines(i), message.generations(i),
                           Scale(message.prefill_steps(i), kPrefillStep),
                           Scale(message.memory_steps(i), kMemoryStep),
                           message.pace_percents(i)});
  }
  return news;
}

}  // namespace auburnloft::gateway

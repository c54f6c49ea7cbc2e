#include "al_gateway/upstreams/engine_load_table.h"

#include <algorithm>
#include <cmath>

#include "al_gateway/upstreams/others_estimate.h"
#include "al_gateway/upstreams/report_age.h"

namespace auburnloft::gateway {

namespace {

/** Bounds of what one router can have open at an engine and observe there; a
   report beyond them is none. An engine runs some hundred requests at once, and
   a prompt has at most some hundred thousand tokens. */
constexpr std::uint32_t kMaxGenerations = 4'096;
constexpr std::uint32_t kMaxTokens = 100'000'000;
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 1'000.0;
constexpr Duration kMaxPerToken = std::chrono::seconds(10);

/** Above the 600 upstreams and the routers of one reader that are planned. */
constexpr std::size_t kMaxEngines = 4'096;
constexpr std::size_t kMaxReporters = 512;

/** Half of the interval of a router's requests. */
constexpr Duration kUpdateInterval = std::chrono::milliseconds(200);

/** Steps in which tokens are told: 5 ms and a small part of an engine's memory,
   so that smaller changes cost no bytes. */
constexpr double kPrefillStep = 256.0;
constexpr double kMemoryStep = 1'024.0;

auto IsInRange(const EngineSample& sample) -> bool {
  const EnginePace::Sample& pace = sample.pace;
  return sample.generations <= kMaxGenerations &&
         sample.prefill_tokens <= kMaxTokens &&
         sample.memory_tokens <= kMaxTokens &&
         (!pace.first_event ||
          (*pace.first_event >= kMinRatio && *pace.first_event <= kMaxRatio)) &&
         (!pace.per_token ||
          (*pace.per_token > Duration(0) && *pace.per_token <= kMaxPerToken));
}

auto InSteps(double value, double step) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::lround(value / step) *
                                    std::lround(step));
}

}  // namespace

//==============================================================================
// Commands

auto EngineLoadTable::Apply(const EngineReport& report, Instant now)
    -> std::size_t {
  if (!this->heard_at.contains(report.reporter) &&
      this->heard_at.size() >= kMaxReporters) {
    return report.samples.size();
  }
  this->heard_at[report.reporter] = now;
  if (report.whole) {
    for (auto& [key, entry] : this->engines) {
      std::erase_if(entry.loads, [&report](const Load& load) {
        return load.reporter == report.reporter;
      });
    }
  }
  std::size_t dropped = 0;
  for (const EngineSample& sample : report.samples) {
    if (!IsInRange(sample) || (!this->engines.contains(sample.engine) &&
                               this->engines.size() >= kMaxEngines)) {
      ++dropped;
      continue;
    }
    this->SetLoad(report.reporter, sample);
    if (UpstreamState* const upstream =
            this->engines[sample.engine].upstream.get()) {
      upstream->RecordSample(sample.pace, now);
    }
  }
  return dropped;
}

auto EngineLoadTable::SetLoad(std::uint64_t reporter,
                              const EngineSample& sample) -> void {
  std::vector<Load>& loads = this->engines[sample.engine].loads;
  std::erase_if(loads, [reporter](const Load& load) {
    return load.reporter == reporter;
  });
  if (sample.generations > 0 || sample.prefill_tokens > 0 ||
      sample.memory_tokens > 0) {
    loads.push_back({reporter, sample.generations, sample.prefill_tokens,
                     sample.memory_tokens});
  }
}

auto EngineLoadTable::Update(int routers, Instant now) -> void {
  if (this->updated_at != Instant() &&
      now - this->updated_at < kUpdateInterval) {
    return;
  }
  this->updated_at = now;
  this->RemoveSilentReporters(now);
  this->FindUpstreams();
  for (auto& [key, entry] : this->engines) {
    this->Sum(entry, now);
  }
  if (routers > 1 && !this->heard_at.empty()) {
    const double fraction =
        std::min(1.0, static_cast<double>(this->heard_at.size()) /
                          static_cast<double>(routers - 1));
    this->directory.VisitServices(
        [fraction](std::span<const UpstreamDirectory::State> upstreams) {
          EstimateOthers(upstreams, fraction);
        });
  }
}

auto EngineLoadTable::RemoveSilentReporters(Instant now) -> void {
  std::erase_if(this->heard_at, [now](const auto& item) {
    return ReportWeight(item.second, now) <= 0.0;
  });
  for (auto& [key, entry] : this->engines) {
    std::erase_if(entry.loads, [this](const Load& load) {
      return !this->heard_at.contains(load.reporter);
    });
  }
}

auto EngineLoadTable::FindUpstreams() -> void {
  for (auto& [key, entry] : this->engines) {
    entry.upstream = nullptr;
  }
  this->directory.VisitServices(
      [this](std::span<const UpstreamDirectory::State> upstreams) {
        for (const UpstreamDirectory::State& upstream : upstreams) {
          if (this->engines.size() < kMaxEngines ||
              this->engines.contains(upstream->key())) {
            this->engines[upstream->key()].upstream = upstream;
          }
        }
      });
  std::erase_if(this->engines, [](const auto& item) {
    return item.second.upstream == nullptr && item.second.loads.empty();
  });
}

auto EngineLoadTable::Sum(Entry& entry, Instant now) -> void {
  if (entry.upstream == nullptr) {
    return;
  }
  EngineLoad others;
  for (const Load& load : entry.loads) {
    const double weight = ReportWeight(this->heard_at.at(load.reporter), now);
    others.generations += weight * load.generations;
    others.prefill_tokens += weight * load.prefill_tokens;
    others.memory_tokens += weight * load.memory_tokens;
  }
  UpstreamState& upstream = *entry.upstream;
  if (!this->heard_at.empty()) {
    upstream.SetOthersObserved(others, now);
  }
  const EngineLoad own = upstream.own_load();
  const PaceBelief& pace = upstream.pace_belief();
  EngineState state;
  state.engine = upstream.key();
  state.generations = InSteps(others.generations + own.generations, 1.0);
  state.prefill_tokens =
      InSteps(others.prefill_tokens + own.prefill_tokens, kPrefillStep);
  state.memory_tokens =
      InSteps(others.memory_tokens + own.memory_tokens, kMemoryStep);
  state.pace_percent =
      pace.source == PaceBelief::Source::kNone ? 0 : pace.percent();
  EngineState untold;
  untold.engine = state.engine;
  if (state != (entry.number == 0 ? untold : entry.state)) {
    entry.state = state;
    entry.number = ++this->newest;
  }
}

//==============================================================================
// Queries

auto EngineLoadTable::NewsSince(std::uint64_t after) const -> EngineNews {
  EngineNews news;
  news.newest = this->newest;
  news.whole = after == 0 || after > this->newest;
  news.reporters = static_cast<std::uint32_t>(this->heard_at.size()) + 1;
  for (const auto& [key, entry] : this->engines) {
    if (entry.number > (news.whole ? 0 : after)) {
      news.states.push_back(entry.state);
    }
  }
  return news;
}

}  // namespace auburnloft::gateway

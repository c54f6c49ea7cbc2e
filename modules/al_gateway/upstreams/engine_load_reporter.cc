#include "al_gateway/upstreams/engine_load_reporter.h"

#include <algorithm>
#include <utility>

#include "al_gateway/upstreams/others_estimate.h"
#include "al_gateway/upstreams/report_age.h"

namespace auburnloft::gateway {

namespace {

/** Bounds of a reader's sums and paces; a state beyond them is none. */
constexpr std::uint32_t kMaxGenerations = 1'000'000;
constexpr std::uint32_t kMaxTokens = 1'000'000'000;
constexpr std::uint32_t kMinPacePercent = 20;
constexpr std::uint32_t kMaxPacePercent = 1'000;

auto IsInRange(const EngineState& state) -> bool {
  return state.generations <= kMaxGenerations &&
         state.prefill_tokens <= kMaxTokens &&
         state.memory_tokens <= kMaxTokens &&
         (state.pace_percent == 0 || (state.pace_percent >= kMinPacePercent &&
                                      state.pace_percent <= kMaxPacePercent));
}

}  // namespace

//==============================================================================
// Commands

auto EngineLoadReporter::Reset() -> void {
  this->reported.clear();
  this->sent.clear();
  this->told.clear();
  this->newest_news = 0;
  this->has_whole = false;
}

auto EngineLoadReporter::MakeReport(Instant now) -> EngineReport {
  if (now - this->confirmed_at >= kReportLifetime / 2) {
    this->reported.clear();
    this->has_whole = false;
  }
  EngineReport report;
  report.reporter = this->reporter;
  report.whole = !this->has_whole;
  this->sent.clear();
  const auto add = [this, &report](std::uint32_t key, const EngineLoad& load,
                                   const EnginePace::Sample& pace) {
    const auto before = this->reported.find(key);
    const bool is_changed = before == this->reported.end()
                                ? load != EngineLoad()
                                : load != before->second;
    // What was observed before the reader was known may be old.
    const bool is_observed =
        this->has_whole && (pace.first_event || pace.per_token);
    if (is_changed || is_observed) {
      report.samples.push_back({key,
                                static_cast<std::uint32_t>(load.generations),
                                static_cast<std::uint32_t>(load.prefill_tokens),
                                static_cast<std::uint32_t>(load.memory_tokens),
                                this->has_whole ? pace : EnginePace::Sample()});
    }
    if (load != EngineLoad() || before != this->reported.end()) {
      this->sent[key] = load;
    }
  };
  this->directory.VisitServices(
      [&add](std::span<const UpstreamDirectory::State> upstreams) {
        for (const UpstreamDirectory::State& upstream : upstreams) {
          add(upstream->key(), upstream->own_load(),
              upstream->TakePaceSample());
        }
      });
  for (const auto& [key, load] : this->reported) {
    if (!this->sent.contains(key)) {
      add(key, EngineLoad(), {});  // Not listed any more.
    }
  }
  return report;
}

auto EngineLoadReporter::Confirm(Instant now) -> void {
  this->reported = std::move(this->sent);
  this->sent.clear();
  std::erase_if(this->reported,
                [](const auto& item) { return item.second == EngineLoad(); });
  this->has_whole = true;
  this->confirmed_at = now;
}

auto EngineLoadReporter::Apply(const EngineNews& news, int routers, Instant now)
    -> std::size_t {
  if (news.whole) {
    this->told.clear();
  }
  std::size_t dropped = 0;
  for (const EngineState& state : news.states) {
    if (!IsInRange(state)) {
      ++dropped;
    } else {
      this->told[state.engine] = state;
    }
  }
  this->newest_news = news.newest;
  if (news.reporters < 2 || routers < 2) {
    return dropped;  // It knows of nobody else's load.
  }
  const double fraction =
      std::min(1.0, static_cast<double>(news.reporters - 1) /
                        static_cast<double>(routers - 1));
  this->directory.VisitServices([this, fraction, now](auto upstreams) {
    for (const UpstreamDirectory::State& upstream : upstreams) {
      const auto found = this->told.find(upstream->key());
      const EngineState state =
          found == this->told.end() ? EngineState() : found->second;
      const auto own = this->reported.find(upstream->key());
      const EngineLoad mine =
          own == this->reported.end() ? EngineLoad() : own->second;
      upstream->SetOthersObserved(
          {std::max(0.0, state.generations - mine.generations),
           std::max(0.0, state.prefill_tokens - mine.prefill_tokens),
           std::max(0.0, state.memory_tokens - mine.memory_tokens)},
          now);
      if (state.pace_percent > 0) {
        upstream->SetReportedPace(state.pace_percent, now);
      }
    }
    EstimateOthers(upstreams, fraction);
  });
  return dropped;
}

}  // namespace auburnloft::gateway

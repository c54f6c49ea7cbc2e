#include "al_gateway/upstreams/upstream_selector.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Reading one prompt token, in milliseconds; engines read some 50 a
   millisecond. */
constexpr double kPrefillMsPerToken = 0.02;

/** What it weighs to read a shared token again that another engine keeps: it
   also delays the events of all requests that run there. */
constexpr double kSharedMsPerToken = 0.15;

/** Other routers send work too: how much more waits than this router knows. */
constexpr double kUnseenWork = 2.0;

/** Delay that one running generation adds to the first event of another. */
constexpr double kRunningMs = 1.0;

/** Delay that a full set of a plain service's slots adds, of this router's own
   requests alone. */
constexpr double kFullSlotsMs = 60.0;

/** What a failure costs a caller, in milliseconds of delay. */
constexpr double kFailureMs = 400.0;

/** What it weighs that the bytes cross failure domains. */
constexpr double kOtherDomainMs = 3.0;

auto IsExcluded(std::span<const std::string> excluded, const std::string& id)
    -> bool {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

/** The part by which a prompt is placed: the last but one, as the last belongs
   to the request itself or to its session. */
auto PlacingPart(const GenerationMetadata& generation) -> const PromptPart* {
  const std::size_t count = generation.parts.size();
  if (count == 0) {
    return nullptr;
  }
  return &generation.parts[count == 1 ? 0 : count - 2];
}

/** The engine that a part of prompts lives on. */
auto HomeOf(std::span<const UpstreamDirectory::State> upstreams,
            std::string_view part,
            Instant now) -> const UpstreamState* {
  const UpstreamState* home = nullptr;
  std::uint64_t highest = 0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!upstream->is_usable(now)) {
      continue;
    }
    const std::uint64_t weight = StableHash(part, upstream->record().id);
    if (home == nullptr || weight > highest) {
      home = upstream.get();
      highest = weight;
    }
  }
  return home;
}

}  // namespace

UpstreamSelector::UpstreamSelector(const UpstreamDirectory& directory,
                                   std::string domain)
    : directory(directory), domain(std::move(domain)) {}

//==============================================================================
// Commands

auto UpstreamSelector::RecordPrompt(const GenerationMetadata& generation,
                                    const UpstreamState& upstream,
                                    Instant now) -> void {
  for (const PromptPart& part : generation.parts) {
    this->memory.RecordPart(part.id, upstream.record().id, now);
  }
}

//==============================================================================
// Queries

auto UpstreamSelector::Choose(const ChoiceQuery& query, Instant now) const
    -> std::optional<UpstreamChoice> {
  const auto upstreams = this->directory.UpstreamsOfService(query.service);
  const UpstreamState* home = nullptr;
  if (query.generation != nullptr) {
    if (const PromptPart* const part = PlacingPart(*query.generation)) {
      home = HomeOf(upstreams, part->id, now);
    }
  }
  const bool any_certain =
      std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        return item->is_usable(now) && !item->is_suspect() &&
               !IsExcluded(query.excluded, item->record().id);
      });
  std::optional<UpstreamChoice> best;
  double best_score = 0.0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!upstream->is_usable(now) || (any_certain && upstream->is_suspect()) ||
        IsExcluded(query.excluded, upstream->record().id)) {
      continue;
    }
    const Estimate estimate =
        this->EstimateFor(*upstream, query, upstream.get() == home, now);
    if (!best || estimate.score_ms < best_score) {
      constexpr double kMicrosPerMilli = 1000.0;
      best = UpstreamChoice{upstream, estimate.prefill_tokens,
                            Duration(static_cast<std::int64_t>(
                                estimate.first_byte_ms * kMicrosPerMilli))};
      best_score = estimate.score_ms;
    }
  }
  return best;
}

auto UpstreamSelector::EstimateFor(const UpstreamState& upstream,
                                   const ChoiceQuery& query,
                                   bool is_home,
                                   Instant now) const -> Estimate {
  Estimate estimate;
  if (query.generation != nullptr) {
    std::uint64_t kept = 0;
    std::uint64_t shared = 0;
    bool chain_kept = true;
    const PromptPart* const last_shared = PlacingPart(*query.generation);
    bool is_shared = last_shared != nullptr;
    for (const PromptPart& part : query.generation->parts) {
      chain_kept = chain_kept && ((is_home && is_shared) ||
                                  this->memory.IsLikelyCached(
                                      part.id, upstream.record().id, now));
      kept += chain_kept ? part.tokens : 0;
      shared += is_shared ? part.tokens : 0;
      is_shared = is_shared && &part != last_shared;
    }
    shared = std::max(shared, kept);
    estimate.score_ms = static_cast<double>(shared - kept) * kSharedMsPerToken;
    const std::uint64_t prompt = query.generation->prompt_tokens;
    estimate.prefill_tokens = prompt - std::min(prompt, kept);
    const double waiting =
        static_cast<double>(upstream.pending_prefill()) * kUnseenWork;
    estimate.first_byte_ms =
        (static_cast<double>(estimate.prefill_tokens) + waiting) *
            kPrefillMsPerToken +
        upstream.open_requests() * kRunningMs;
  } else {
    estimate.first_byte_ms = kFullSlotsMs * upstream.open_requests() /
                             std::max(1, upstream.record().slots);
  }
  constexpr double kMillisPerSecond = 1000.0;
  estimate.score_ms +=
      estimate.first_byte_ms +
      ToSeconds(upstream.ExcessLatency(now)) * kMillisPerSecond +
      upstream.FailureRate(now) * kFailureMs +
      (upstream.record().domain == this->domain ? 0.0 : kOtherDomainMs);
  return estimate;
}

}  // namespace auburnloft::gateway

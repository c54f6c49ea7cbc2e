#include "al_gateway/upstreams/upstream_selector.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Time to process one prompt token; engines process about 50 per millisecond.
 */
constexpr double kPrefillMsPerToken = 0.02;

/** Score penalty for processing a shared token again that another engine has
   cached. It is higher than the processing time, because prompt processing also
   delays the events of all other requests on the engine. */
constexpr double kSharedPenaltyMsPerToken = 0.15;

/** Factor from the queued prompt tokens that this router sent to an estimate of
   all queued tokens, as other routers send requests too. */
constexpr double kFleetQueueFactor = 2.0;

/** Delay that each open generation adds to the first event of another one. */
constexpr double kOpenRequestMs = 1.0;

/** Delay at a plain service whose slots are all occupied by this router's own
   requests. */
constexpr double kFullSlotsMs = 60.0;

/** Score penalty of a failure, as the equivalent delay for the caller. */
constexpr double kFailurePenaltyMs = 400.0;

/** Score penalty for traffic that crosses failure domains. */
constexpr double kOtherDomainPenaltyMs = 3.0;

auto IsExcluded(std::span<const std::string> excluded, const std::string& id)
    -> bool {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

/** Returns whether the request may be sent to a region. One that is unknown is
   not allowed if the regions are limited. */
auto IsAllowedIn(const std::string& region, const ChoiceQuery& query) -> bool {
  const auto allows = [&region](std::span<const std::string> regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  return allows(query.route_regions) && allows(query.team_regions);
}

/** Returns the prompt part that determines the home engine: the second to last
   part, because the last one is unique to the request or its session. A single
   part counts as shared. Null if the prompt has no parts. */
auto LastSharedPart(const GenerationMetadata& generation) -> const PromptPart* {
  const std::size_t count = generation.parts.size();
  if (count == 0) {
    return nullptr;
  }
  return &generation.parts[count == 1 ? 0 : count - 2];
}

/** Returns the home engine of a prompt part by rendezvous hashing over the
   usable engines, or null if none is usable. An engine with a limit is no home:
   it could not take most of the requests that share the part. */
auto HomeEngine(std::span<const UpstreamDirectory::State> upstreams,
                std::string_view part,
                const ChoiceQuery& query,
                Instant now) -> const UpstreamState* {
  const UpstreamState* home = nullptr;
  std::uint64_t highest = 0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!upstream->is_usable(now) || upstream->is_limited() ||
        !IsAllowedIn(upstream->region(), query)) {
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
    this->affinity.RecordPart(part.id, upstream.record().id, now);
  }
}

//==============================================================================
// Queries

auto UpstreamSelector::Choose(const ChoiceQuery& query, Instant now) const
    -> std::optional<UpstreamChoice> {
  const auto upstreams = this->directory.UpstreamsOfService(query.service);
  const UpstreamState* home = nullptr;
  if (query.generation != nullptr) {
    if (const PromptPart* const part = LastSharedPart(*query.generation)) {
      home = HomeEngine(upstreams, part->id, query, now);
    }
  }
  const bool has_non_suspect =
      std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        return item->is_usable(now) && !item->is_suspect() &&
               IsAllowedIn(item->region(), query) &&
               !IsExcluded(query.excluded, item->record().id);
      });
  std::optional<UpstreamChoice> best;
  double best_score = 0.0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!upstream->is_usable(now) || !IsAllowedIn(upstream->region(), query) ||
        (has_non_suspect && upstream->is_suspect()) ||
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
    std::uint64_t cached = 0;
    std::uint64_t shared = 0;
    bool prefix_is_cached = true;
    const PromptPart* const last_shared = LastSharedPart(*query.generation);
    bool is_shared = last_shared != nullptr;
    for (const PromptPart& part : query.generation->parts) {
      prefix_is_cached =
          prefix_is_cached &&
          ((is_home && is_shared) ||
           this->affinity.IsLikelyCached(part.id, upstream.record().id, now));
      cached += prefix_is_cached ? part.tokens : 0;
      shared += is_shared ? part.tokens : 0;
      is_shared = is_shared && &part != last_shared;
    }
    shared = std::max(shared, cached);
    estimate.score_ms =
        static_cast<double>(shared - cached) * kSharedPenaltyMsPerToken;
    const std::uint64_t prompt = query.generation->prompt_tokens;
    estimate.prefill_tokens = prompt - std::min(prompt, cached);
    const double queued =
        static_cast<double>(upstream.pending_prefill()) * kFleetQueueFactor;
    estimate.first_byte_ms =
        (static_cast<double>(estimate.prefill_tokens) + queued) *
            kPrefillMsPerToken +
        upstream.open_requests() * kOpenRequestMs;
  } else {
    estimate.first_byte_ms = kFullSlotsMs * upstream.open_requests() /
                             std::max(1, upstream.record().slots);
  }
  constexpr double kMillisPerSecond = 1000.0;
  estimate.score_ms +=
      estimate.first_byte_ms +
      ToSeconds(upstream.ExcessLatency(now)) * kMillisPerSecond +
      upstream.FailureRate(now) * kFailurePenaltyMs +
      (upstream.record().domain == this->domain ? 0.0 : kOtherDomainPenaltyMs);
  return estimate;
}

}  // namespace auburnloft::gateway

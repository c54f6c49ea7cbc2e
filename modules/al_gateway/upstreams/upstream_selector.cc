#include "al_gateway/upstreams/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "al_core/text/digest.h"
#include "al_gateway/upstreams/pace_ranking.h"

namespace auburnloft::gateway {

namespace {

/** Time to process one prompt token at an engine with the pace of the median;
   engines process about 50 per millisecond. */
constexpr double kPrefillMsPerToken = 0.02;

/** Score penalty for processing a shared token again that another engine has
   cached. It is higher than the processing time, because prompt processing also
   delays the events of all other requests on the engine. */
constexpr double kSharedPenaltyMsPerToken = 0.15;

/** Factor from the queued prompt tokens that this router sent to an estimate of
   all queued tokens where the other routers' load is not known. */
constexpr double kFleetQueueFactor = 2.0;

/** Maximum score that tells nearly equal engines apart, differently for each
   router. What other routers send is known after up to 0.8 s, and meanwhile all
   would choose the engine that was the idlest. */
constexpr double kSpreadMs = 80.0;

/** Delay that each open generation adds to the first event of another one. */
constexpr double kOpenRequestMs = 1.0;

/** Delay at a plain service whose slots are all occupied by this router's own
   requests. */
constexpr double kFullSlotsMs = 60.0;

/** Score penalty of a failure, as the equivalent delay for the caller. */
constexpr double kFailurePenaltyMs = 400.0;

/** Score penalty of an engine whose memory is full by estimate: the time until
   a generation of some hundred tokens has ended and leaves its memory. */
constexpr double kFullMemoryMs = 1'000.0;

/** Score penalty for traffic that crosses failure domains. */
constexpr double kOtherDomainPenaltyMs = 3.0;

auto FromMillis(double millis) -> Duration {
  constexpr double kMicrosPerMilli = 1000.0;
  return Duration(static_cast<std::int64_t>(millis * kMicrosPerMilli));
}

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

/** Returns whether an upstream may get the request, whatever it has open. */
auto IsEligible(const UpstreamState& upstream,
                const ChoiceQuery& query,
                Instant now) -> bool {
  const std::string& version = upstream.record().version;
  return upstream.is_usable(now) && IsAllowedIn(upstream.region(), query) &&
         (!query.version || (!version.empty() && version == *query.version));
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

/** Returns whether a generation fits into an engine's memory beside `others`.
   One that is larger than the memory of an empty engine is left to the engine.
 */
auto HasRoom(const ChoiceQuery& query, double others) -> bool {
  return query.memory_capacity == 0 || query.generation == nullptr ||
         others <= 0.0 ||
         others + static_cast<double>(query.generation->max_total_tokens()) <=
             static_cast<double>(query.memory_capacity);
}

/** Returns the tokens in an engine's memory that are certain to be there: those
   of this router and, while the report is fresh, of the reader's routers. */
auto KnownMemory(const UpstreamState& upstream, Instant now) -> double {
  return upstream.own_load().memory_tokens +
         ReportWeight(upstream.others().at, now) *
             upstream.others().observed.memory_tokens;
}

/** Returns a number above 0 and below 1 that rises with the hash. */
auto UnitNumber(std::uint64_t hash) -> double {
  constexpr double kHashes = 18446744073709551616.0;  // 2^64
  return (static_cast<double>(hash) + 0.5) / kHashes;
}

/** Returns the home engine of a prompt part by weighted rendezvous hashing over
   the usable engines, or null if none is usable. Slower engines have lower
   weights; see PaceBelief::home_cost. An engine with a limit is no home: it
   could not take most of the requests that share the part. */
auto HomeEngine(std::span<const UpstreamDirectory::State> upstreams,
                std::string_view part,
                const ChoiceQuery& query,
                Instant now) -> const UpstreamState* {
  const UpstreamState* home = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  std::uint64_t highest = 0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!IsEligible(*upstream, query, now) || upstream->is_limited()) {
      continue;
    }
    const std::uint64_t hash = StableHash(part, upstream->record().id);
    // An exponentially distributed number with the cost as its mean. With equal
    // paces, the highest hash has the lowest number.
    const double number =
        upstream->pace_belief().home_cost * -std::log(UnitNumber(hash));
    if (home == nullptr || number < lowest ||
        (number == lowest && hash > highest)) {
      home = upstream.get();
      lowest = number;
      highest = hash;
    }
  }
  return home;
}

}  // namespace

UpstreamSelector::UpstreamSelector(const UpstreamDirectory& directory,
                                   std::string domain,
                                   std::string router)
    : directory(directory),
      domain(std::move(domain)),
      router(std::move(router)) {}

//==============================================================================
// Commands

auto UpstreamSelector::RecordPrompt(const GenerationMetadata& generation,
                                    const UpstreamState& upstream,
                                    Instant now) -> void {
  for (const PromptPart& part : generation.parts) {
    this->affinity.RecordPart(part.id, upstream.record().id, now);
  }
}

auto UpstreamSelector::UpdatePaces(Instant now) -> void {
  this->directory.VisitServices(
      [this, now](std::span<const UpstreamDirectory::State> upstreams) {
        RankPaces(upstreams, now);
        for (const UpstreamDirectory::State& upstream : upstreams) {
          upstream->SetTieBreak(
              1.0 -
              UnitNumber(StableHash(this->router, upstream->record().id)));
        }
      });
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
        return IsEligible(*item, query, now) && !item->is_suspect() &&
               !IsExcluded(query.excluded, item->record().id) &&
               HasRoom(query, KnownMemory(*item, now));
      });
  std::optional<UpstreamChoice> best;
  double best_score = 0.0;
  for (const UpstreamDirectory::State& upstream : upstreams) {
    if (!IsEligible(*upstream, query, now) ||
        (has_non_suspect && upstream->is_suspect()) ||
        IsExcluded(query.excluded, upstream->record().id) ||
        !HasRoom(query, KnownMemory(*upstream, now))) {
      continue;
    }
    const Estimate estimate =
        this->EstimateFor(*upstream, query, upstream.get() == home, now);
    if (!best || estimate.score_ms < best_score) {
      best = UpstreamChoice{
          upstream, estimate.prefill_tokens, FromMillis(estimate.first_byte_ms),
          FromMillis(estimate.nominal_ms),
          query.generation != nullptr ? query.generation->max_total_tokens()
                                      : 0};
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
    const double pace = upstream.pace_belief().factor;
    estimate.score_ms =
        static_cast<double>(shared - cached) * kSharedPenaltyMsPerToken;
    const std::uint64_t prompt = query.generation->prompt_tokens;
    estimate.prefill_tokens = prompt - std::min(prompt, cached);
    const OthersLoad& others = upstream.others();
    const double known = ReportWeight(others.at, now);
    const double queued = static_cast<double>(upstream.pending_prefill()) *
                              (known + (1.0 - known) * kFleetQueueFactor) +
                          known * others.estimate.prefill_tokens;
    estimate.score_ms += known * kSpreadMs * upstream.tie_break();
    estimate.nominal_ms =
        (static_cast<double>(estimate.prefill_tokens) + queued) *
            kPrefillMsPerToken +
        (upstream.open_requests() + known * others.estimate.generations) *
            kOpenRequestMs;
    estimate.first_byte_ms = estimate.nominal_ms * pace;
    if (!HasRoom(query, upstream.own_load().memory_tokens +
                            known * others.estimate.memory_tokens)) {
      estimate.score_ms += kFullMemoryMs * pace;
    }
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

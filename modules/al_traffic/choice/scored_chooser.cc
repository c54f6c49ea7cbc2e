#include "al_traffic/choice/scored_chooser.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** Candidates drawn at random: two already avoid the herd, three cost little
 * more. */
constexpr std::size_t kDrawn = 3;

/** What a wholly cached prompt is worth, in units of an engine's load. */
constexpr double kPrefixWorth = 0.6;

/** What a hop to another failure domain costs, in units of an engine's load. */
constexpr double kDomainCost = 0.05;

/** From this load on requests queue at the engine, and each costs the more. */
constexpr double kBusyLoad = 0.85;
constexpr double kBusyFactor = 4.0;

}  // namespace

auto ScoredChooser::ScoreOf(const Candidate& candidate) -> double {
  const double load =
      (candidate.own_in_flight + candidate.others_in_flight) / candidate.slots;
  const double busy = std::max(0.0, load - kBusyLoad) * kBusyFactor;
  const double domain = candidate.is_same_domain ? 0.0 : kDomainCost;
  return load + busy + domain - kPrefixWorth * candidate.prefix_match;
}

auto ScoredChooser::Choose(std::span<const Candidate> candidates,
                           RandomSource& random) -> std::size_t {
  const auto by_prefix =
      std::ranges::max_element(candidates, {}, &Candidate::prefix_match);
  auto best = static_cast<std::size_t>(by_prefix - candidates.begin());
  if (by_prefix->prefix_match <= 0.0) {
    best = random.Below(candidates.size());
  }
  for (std::size_t draw = 0; draw < kDrawn; ++draw) {
    const std::size_t drawn = random.Below(candidates.size());
    if (ScoreOf(candidates[drawn]) < ScoreOf(candidates[best])) {
      best = drawn;
    }
  }
  return best;
}

}  // namespace auburnloft

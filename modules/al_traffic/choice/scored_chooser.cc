#include "al_traffic/choice/scored_chooser.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** What a request of other routers weighs against one of this router's own: it
   breaks ties. Reports lag, and routers that all see the same idle engine would
   all pick it. */
constexpr double kOthersWeight = 0.05;

/** What a wholly cached prompt is worth, in units of an engine's load. */
constexpr double kPrefixWorth = 0.6;

/** What a hop to another failure domain costs, in units of an engine's load. */
constexpr double kDomainCost = 0.002;

/** From this load on requests queue at the engine, and each costs the more. */
constexpr double kBusyLoad = 1.0;
constexpr double kBusyFactor = 1.0;

}  // namespace

auto ScoredChooser::ScoreOf(const Candidate& candidate) -> double {
  const double load =
      (candidate.own_in_flight + kOthersWeight * candidate.others_in_flight) /
      candidate.slots;
  const double whole_load =
      (candidate.own_in_flight + candidate.others_in_flight) / candidate.slots;
  const double busy = std::max(0.0, whole_load - kBusyLoad) * kBusyFactor;
  const double domain = candidate.is_same_domain ? 0.0 : kDomainCost;
  return load + busy + domain - kPrefixWorth * candidate.prefix_match;
}

auto ScoredChooser::Choose(std::span<const Candidate> candidates,
                           RandomSource& random) -> std::size_t {
  // Starts at a random place, so that equal candidates share the load.
  const std::size_t first = random.UniformBelow(candidates.size());
  std::size_t best = first;
  double best_score = ScoreOf(candidates[first]);
  for (std::size_t step = 1; step < candidates.size(); ++step) {
    const std::size_t place = (first + step) % candidates.size();
    const double score = ScoreOf(candidates[place]);
    if (score < best_score) {
      best = place;
      best_score = score;
    }
  }
  return best;
}

}  // namespace auburnloft

#include "al_traffic/choice/scored_chooser.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** Weight of a request from another router, relative to one from this router:
 * just enough to break ties. Load reports are out of date, and with a higher
 * weight all routers would choose the same engine that was last reported idle.
 */
constexpr double kOtherRoutersWeight = 0.05;

/** Score reduction for a fully cached prompt, in units of load (in-flight
 * requests per slot). */
constexpr double kPrefixMatchBonus = 0.6;

/** Score penalty for an upstream in another failure domain, in units of load.
 */
constexpr double kOtherDomainPenalty = 0.002;

/** Above this load requests queue at the engine, so the excess is added to the
 * score once more. */
constexpr double kOverloadThreshold = 1.0;
constexpr double kOverloadFactor = 1.0;

}  // namespace

auto ScoredChooser::ScoreOf(const Candidate& candidate) -> double {
  const double load = (candidate.own_in_flight +
                       kOtherRoutersWeight * candidate.others_in_flight) /
                      candidate.slots;
  const double total_load =
      (candidate.own_in_flight + candidate.others_in_flight) / candidate.slots;
  const double overload =
      std::max(0.0, total_load - kOverloadThreshold) * kOverloadFactor;
  const double domain = candidate.is_same_domain ? 0.0 : kOtherDomainPenalty;
  return load + overload + domain - kPrefixMatchBonus * candidate.prefix_match;
}

auto ScoredChooser::Choose(std::span<const Candidate> candidates,
                           RandomSource& random) -> std::size_t {
  // Starts at a random candidate, so that candidates with equal scores share
  // the load.
  const std::size_t first = random.UniformBelow(candidates.size());
  std::size_t best = first;
  double best_score = ScoreOf(candidates[first]);
  for (std::size_t step = 1; step < candidates.size(); ++step) {
    const std::size_t index = (first + step) % candidates.size();
    const double score = ScoreOf(candidates[index]);
    if (score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

}  // namespace auburnloft

#ifndef AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_
#define AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_

#include <cstddef>
#include <span>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/candidate.h"

namespace auburnloft {

/** Chooses the candidate with the lowest score.

    The score is the load, plus a small penalty for another failure domain,
   minus a bonus for a cached prefix. The router's own requests count in full,
   since their number is exact and differs between routers. Requests from other
   routers count only in part: load reports arrive late and are the same for all
   routers, which would otherwise all choose the same upstream.
*/
class ScoredChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;

  /** The score of a candidate; lower is better. */
  [[nodiscard]] static auto ScoreOf(const Candidate& candidate) -> double;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_

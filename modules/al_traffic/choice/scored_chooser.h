#ifndef AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_
#define AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_

#include <cstddef>
#include <span>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/candidate.h"

namespace auburnloft {

/** Compares a few candidates by a score and takes the best of them.

    The score is the expected load, less what a cached prefix saves, plus a
   little for another failure domain. A few random candidates and the one with
   the best prefix are compared rather than all: reports lag, and routers that
   all see the same best upstream would all pick it.
*/
class ScoredChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;

  /** The score of a candidate; the lowest is the best. */
  [[nodiscard]] static auto ScoreOf(const Candidate& candidate) -> double;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_

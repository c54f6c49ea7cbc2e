#ifndef AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_
#define AL_TRAFFIC_CHOICE_SCORED_CHOOSER_H_

#include <cstddef>
#include <span>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/candidate.h"

namespace auburnloft {

/** Compares all candidates by a score and takes the best of them.

    The score is the load, less what a cached prefix saves, plus a little for
   another failure domain. A router's own requests count in full, since they are
   exact and differ from router to router; those of others, which reports tell
   late and to all alike, count in part, so that not every router picks the same
   upstream.
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

#ifndef AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_
#define AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_

#include <cstddef>
#include <span>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/candidate.h"

namespace auburnloft {

/** Chooses any candidate with equal probability. A baseline for comparison. */
class RandomChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;
};

/** Chooses the candidates in turn. A baseline for comparison. */
class RoundRobinChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;

 private:
  std::size_t next = 0;
};

/** Chooses the candidate with the fewest requests from this router. A baseline
 * for comparison. */
class LeastInFlightChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_

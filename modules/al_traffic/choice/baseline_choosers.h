#ifndef AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_
#define AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_

#include <cstddef>
#include <span>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/candidate.h"

namespace auburnloft {

/** Any candidate, with equal probability. A baseline. */
class RandomChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;
};

/** Each candidate in turn. A baseline. */
class RoundRobinChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;

 private:
  std::size_t next = 0;
};

/** The candidate with the fewest requests of this router. A baseline. */
class LeastInFlightChooser {
 public:
  auto Choose(std::span<const Candidate> candidates, RandomSource& random)
      -> std::size_t;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_BASELINE_CHOOSERS_H_

#include "al_traffic/choice/baseline_choosers.h"

namespace auburnloft {

auto RandomChooser::Choose(std::span<const Candidate> candidates,
                           RandomSource& random) -> std::size_t {
  return random.UniformBelow(candidates.size());
}

auto RoundRobinChooser::Choose(std::span<const Candidate> candidates,
                               RandomSource& /*random*/) -> std::size_t {
  return this->next++ % candidates.size();
}

auto LeastInFlightChooser::Choose(std::span<const Candidate> candidates,
                                  RandomSource& random) -> std::size_t {
  // Starts at a random candidate, so that candidates with equal counts share
  // the load.
  const std::size_t first = random.UniformBelow(candidates.size());
  std::size_t best = first;
  for (std::size_t step = 1; step < candidates.size(); ++step) {
    const std::size_t index = (first + step) % candidates.size();
    if (candidates[index].own_in_flight < candidates[best].own_in_flight) {
      best = index;
    }
  }
  return best;
}

}  // namespace auburnloft

#ifndef AL_CORE_RANDOM_RANDOM_SOURCE_H_
#define AL_CORE_RANDOM_RANDOM_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace auburnloft {

/** A seeded random number generator with the same results on every machine.

    The decision code receives its generator as an argument, so that a test can
   replay its choices. The standard fixes the output of std::mt19937_64 but not
   that of the distributions, so this class implements its own.

    Thread safety: none; use one generator per thread.
*/
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  /** A uniformly distributed integer in [0, bound). @pre bound > 0. */
  auto UniformBelow(std::uint64_t bound) -> std::uint64_t {
    return this->engine() % bound;
  }

  /** A uniformly distributed number in [0, 1). */
  auto UniformDouble() -> double {
    constexpr int kMantissaBits = 53;
    return static_cast<double>(this->engine() >> (64 - kMantissaBits)) /
           static_cast<double>(1ULL << kMantissaBits);
  }

  /** True with the given probability, from 0 to 1. */
  auto Bernoulli(double probability) -> bool {
    return this->UniformDouble() < probability;
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace auburnloft

#endif  // AL_CORE_RANDOM_RANDOM_SOURCE_H_

#ifndef AL_CORE_RANDOM_RANDOM_SOURCE_H_
#define AL_CORE_RANDOM_RANDOM_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace auburnloft {

/** Seeded random numbers that are the same on every machine.

    The decision code takes one of these from outside, so that a test can replay
   its choices. std::mt19937_64 is specified bit by bit; the standard
   distributions are not, and so the ranges are drawn here.

    Thread safety: none; one source a thread.
*/
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  /** A number from [0, bound).  @pre bound > 0. */
  auto UniformBelow(std::uint64_t bound) -> std::uint64_t {
    return this->engine() % bound;
  }

  /** A number from [0, 1). */
  auto UniformDouble() -> double {
    constexpr int kMantissaBits = 53;
    return static_cast<double>(this->engine() >> (64 - kMantissaBits)) /
           static_cast<double>(1ULL << kMantissaBits);
  }

  /** True with the given probability. */
  auto Bernoulli(double probability) -> bool {
    return this->UniformDouble() < probability;
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace auburnloft

#endif  // AL_CORE_RANDOM_RANDOM_SOURCE_H_

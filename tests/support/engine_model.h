#ifndef TESTS_SUPPORT_ENGINE_MODEL_H_
#define TESTS_SUPPORT_ENGINE_MODEL_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_core/time/instant.h"
#include "al_gateway/model/request_metadata.h"

namespace auburnloft::testing {

/** One model engine in virtual time: it processes prompts one after the other,
    and generates the tokens of all its streams at once, each slower the more
    there are. Noise multiplies its time in some intervals of 600 ms.

    Thread safety: none.
*/
class EngineModel {
 public:
  /** @param factor  of the nominal time. */
  EngineModel(double factor, double noise_share, std::uint64_t seed)
      : factor(factor), noise_share(noise_share), random(seed) {}

  /** Begins a generation. @return when its first event is sent. */
  auto Begin(const gateway::GenerationMetadata& prompt, Instant now) -> Instant;

  /** Ends a generation. */
  auto End() -> void { --this->streams; }

  /** Returns the time that a token takes now. */
  [[nodiscard]] auto PerToken(Instant now) -> Duration;

  /** Returns when a prompt's first event would be sent, with the engine's pace
     but not its noise: what an oracle knows. */
  [[nodiscard]] auto FirstEventAt(const gateway::GenerationMetadata& prompt,
                                  Instant now) const -> Instant;

 private:
  [[nodiscard]] auto Uncached(const gateway::GenerationMetadata& prompt,
                              Instant now) const -> double;
  auto NoiseAt(Instant now) -> double;

  double factor;
  double noise_share;
  RandomSource random;
  std::map<std::int64_t, double> noise;  ///< By number of the interval.
  Instant free_at{};                     ///< When all prompts are processed.
  int streams = 0;
  std::unordered_map<std::string, Instant> used_at;  ///< Cached parts.
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_ENGINE_MODEL_H_

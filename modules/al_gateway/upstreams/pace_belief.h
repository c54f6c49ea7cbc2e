#ifndef AL_GATEWAY_UPSTREAMS_PACE_BELIEF_H_
#define AL_GATEWAY_UPSTREAMS_PACE_BELIEF_H_

#include <cmath>
#include <cstdint>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The pace of an engine as this router believes it to be. */
struct PaceBelief {
  enum class Source {
    kNone,    ///< Nothing known: as the median of its service.
    kOwn,     ///< Observed by this router, or reported to it as a reader.
    kReader,  ///< Told by a reader.
  };

  double factor = 1.0;     ///< Of the median time of its service.
  double home_cost = 1.0;  ///< Inverse of its weight as a home of prompts.
  Source source = Source::kNone;
  Instant learned_at{};  ///< Of the newest observation or report.

  /** Returns the factor in percent, as in logs and messages. */
  [[nodiscard]] auto percent() const -> std::uint32_t {
    constexpr double kPercent = 100.0;
    return static_cast<std::uint32_t>(std::lround(this->factor * kPercent));
  }

  /** Returns the name of the source in logs. */
  [[nodiscard]] auto source_name() const -> std::string_view {
    switch (this->source) {
      case Source::kNone:
        return "none";
      case Source::kOwn:
        return "own";
      case Source::kReader:
        return "reader";
    }
    return "none";
  }
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PACE_BELIEF_H_

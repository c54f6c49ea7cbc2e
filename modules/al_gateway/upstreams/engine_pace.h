#ifndef AL_GATEWAY_UPSTREAMS_ENGINE_PACE_H_
#define AL_GATEWAY_UPSTREAMS_ENGINE_PACE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "al_core/time/instant.h"
#include "al_gateway/upstreams/pace_window.h"

namespace auburnloft::gateway {

/** How fast one engine process is, learned from its responses: its time to the
   first event against a nominal time that includes the known queue, and its
   time per token by the number of its streams. The values say something only
   compared with those of other engines; see RankPaces().

    Thread safety: none; used on one thread.
*/
class EnginePace {
 public:
  /** Sums of the numbers of streams and the times per token of an engine. The
     sums of several engines, each about its own means, tell how streams slow
     each other down, though the slow engines have more of them. */
  struct StreamSums {
    double variance = 0.0;    ///< Of the number of streams, times the samples.
    double covariance = 0.0;  ///< With the logarithm of the time per token.
  };

  /** Mean observations since the last TakeSample(), for another router. */
  struct Sample {
    std::optional<double> first_event;  ///< Ratio to the nominal time.
    std::optional<Duration> per_token;
  };

  //============================================================================
  // Commands

  /** Records the time to a first event. Short ones are ignored: a fixed part
     of the time, not the engine's pace, determines them.
      @param nominal  expected time at an engine of nominal pace, with the
                      queue that is known. */
  auto RecordFirstEvent(Duration latency, Duration nominal, Instant now)
      -> void;

  /** Records that a stream lately needed `per_token` for each token.
      @param streams  open generations at the engine, as far as known. */
  auto RecordTokens(Duration per_token, double streams, Instant now) -> void;

  /** Records observations of another router; parameters as above. */
  auto RecordSample(const Sample& sample, double streams, Instant now) -> void;

  /** Returns this router's observations since the last call. */
  [[nodiscard]] auto TakeSample() -> Sample;

  //============================================================================
  // Queries

  /** Returns the logarithm of the ratio of first events' times to the nominal
     ones; none if too little was observed lately. */
  [[nodiscard]] auto LogFirstEvent(Instant now) const -> std::optional<double> {
    return this->first_events.Estimate(now);
  }

  /** Returns the logarithm of the time per token in seconds; none as above. */
  [[nodiscard]] auto LogPerToken(Instant now) const -> std::optional<double> {
    return this->tokens.Estimate(now);
  }

  /** Returns the recent mean number of streams of LogPerToken(). */
  [[nodiscard]] auto mean_streams() const -> double {
    return this->streams_mean;
  }

  [[nodiscard]] auto stream_sums() const -> const StreamSums& {
    return this->sums;
  }

  /** Returns when the newest observation was made; the epoch if none was. */
  [[nodiscard]] auto newest_at() const -> Instant {
    return std::max(this->first_events.newest_at(), this->tokens.newest_at());
  }

 private:
  struct Mean {
    double sum = 0.0;
    std::uint32_t count = 0;
  };

  auto RecordFirstEventRatio(double ratio, Instant now) -> void;
  auto RecordLogPerToken(double log_seconds, double streams, Instant now)
      -> void;

  PaceWindow first_events;
  PaceWindow tokens;
  double streams_mean = 0.0;
  double log_mean = 0.0;  ///< Of the time per token, as `streams_mean`.
  bool has_mean = false;
  StreamSums sums;
  Mean untold_first_events;  ///< Logarithms, for TakeSample().
  Mean untold_tokens;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_ENGINE_PACE_H_

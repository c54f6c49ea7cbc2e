#ifndef AL_EDGE_METRICS_LATENCY_HISTOGRAM_H_
#define AL_EDGE_METRICS_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft {

/** Durations in logarithmic bins from 10 microseconds to 1000 seconds, by
   Boost.Histogram.

    Thread safety: none; used on one thread.
*/
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  LatencyHistogram(const LatencyHistogram&) = delete;
  auto operator=(const LatencyHistogram&) -> LatencyHistogram& = delete;

  /** Counts one duration. */
  auto Record(Duration duration) -> void;

  /** The number of durations so far. */
  [[nodiscard]] auto count() const -> std::uint64_t { return this->total; }

  /** The upper edge of the bin in which the given part of all durations is
     reached, in seconds. 0 where there is none. @pre 0 <= part <= 1. */
  [[nodiscard]] auto QuantileSeconds(double part) const -> double;

  /** The histogram as Prometheus text. Source: the Prometheus exposition format
   * 0.0.4. */
  [[nodiscard]] auto ToPrometheus(std::string_view name,
                                  std::string_view labels) const -> std::string;

 private:
  struct Bins;

  std::unique_ptr<Bins> bins;
  std::uint64_t total = 0;
  double sum_seconds = 0.0;
};

}  // namespace auburnloft

#endif  // AL_EDGE_METRICS_LATENCY_HISTOGRAM_H_

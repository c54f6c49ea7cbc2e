#ifndef AL_EDGE_METRICS_LATENCY_HISTOGRAM_H_
#define AL_EDGE_METRICS_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft {

/** A histogram of durations with logarithmic bins from 10 microseconds to 1000
   seconds.

    Thread safety: none; use on one thread.
*/
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  LatencyHistogram(const LatencyHistogram&) = delete;
  auto operator=(const LatencyHistogram&) -> LatencyHistogram& = delete;

  /** Adds one duration. Values below the range count as 10 microseconds. */
  auto Record(Duration duration) -> void;

  /** The number of recorded durations. */
  [[nodiscard]] auto count() const -> std::uint64_t { return this->total; }

  /** The upper edge, in seconds, of the bin that contains the given quantile,
     or 0 if nothing was recorded. @pre 0 <= quantile <= 1. */
  [[nodiscard]] auto QuantileSeconds(double quantile) const -> double;

  /** The histogram in the Prometheus text format 0.0.4.
      @param labels  `name="value"` pairs, separated by commas; may be empty. */
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

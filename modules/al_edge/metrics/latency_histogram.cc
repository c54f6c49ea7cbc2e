#include "al_edge/metrics/latency_histogram.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace auburnloft {

namespace {

namespace bh = boost::histogram;

constexpr unsigned int kBinsPerDecade = 20;
constexpr unsigned int kDecades = 8;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 1e3;

/** Bins per bucket of the Prometheus text: ten buckets per decade are enough
   for a chart. */
constexpr int kBinsPerPrintedBucket = 2;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram(
      Axis(kBinsPerDecade * kDecades, kMinSeconds, kMaxSeconds));
}

}  // namespace

struct LatencyHistogram::Bins {
  decltype(MakeHistogram()) histogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram() : bins(std::make_unique<Bins>()) {}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::Record(Duration duration) -> void {
  const double seconds = std::max(ToSeconds(duration), kMinSeconds);
  this->bins->histogram(seconds);
  this->sum_seconds += seconds;
  ++this->total;
}

auto LatencyHistogram::QuantileSeconds(double quantile) const -> double {
  if (this->total == 0) {
    return 0.0;
  }
  const double target_count = quantile * static_cast<double>(this->total);
  double cumulative_count = 0.0;
  for (const auto& bin :
       bh::indexed(this->bins->histogram, bh::coverage::all)) {
    cumulative_count += *bin;
    if (cumulative_count >= target_count) {
      return std::min(bin.bin().upper(), kMaxSeconds);
    }
  }
  return kMaxSeconds;
}

auto LatencyHistogram::ToPrometheus(std::string_view name,
                                    std::string_view labels) const
    -> std::string {
  std::ostringstream out;
  const std::string comma = labels.empty() ? "" : ",";
  double cumulative_count = 0.0;
  int index = 0;
  for (const auto& bin : bh::indexed(this->bins->histogram)) {
    cumulative_count += *bin;
    if (++index % kBinsPerPrintedBucket == 0) {
      out << name << "_bucket{" << labels << comma << "le=\""
          << bin.bin().upper() << "\"} " << cumulative_count << "\n";
    }
  }
  out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << this->total
      << "\n"
      << name << "_sum{" << labels << "} " << this->sum_seconds << "\n"
      << name << "_count{" << labels << "} " << this->total << "\n";
  return out.str();
}

}  // namespace auburnloft

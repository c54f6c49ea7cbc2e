#include "al_edge/metrics/latency_histogram.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace auburnloft {

namespace {

namespace bh = boost::histogram;

constexpr unsigned int kBinsPerDecade = 20;
constexpr unsigned int kDecades = 8;
constexpr double kLeastSeconds = 1e-5;
constexpr double kMostSeconds = 1e3;

/** Every so many bins one edge is printed: ten a decade are enough for a chart.
 */
constexpr int kPrintedEvery = 2;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram(
      Axis(kBinsPerDecade * kDecades, kLeastSeconds, kMostSeconds));
}

}  // namespace

struct LatencyHistogram::Bins {
  decltype(MakeHistogram()) histogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram() : bins(std::make_unique<Bins>()) {}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::Record(Duration duration) -> void {
  const double seconds = std::max(ToSeconds(duration), kLeastSeconds);
  this->bins->histogram(seconds);
  this->sum_seconds += seconds;
  ++this->total;
}

auto LatencyHistogram::QuantileSeconds(double part) const -> double {
  if (this->total == 0) {
    return 0.0;
  }
  const double wanted = part * static_cast<double>(this->total);
  double seen = 0.0;
  for (const auto& bin :
       bh::indexed(this->bins->histogram, bh::coverage::all)) {
    seen += *bin;
    if (seen >= wanted) {
      return std::min(bin.bin().upper(), kMostSeconds);
    }
  }
  return kMostSeconds;
}

auto LatencyHistogram::ToPrometheus(std::string_view name,
                                    std::string_view labels) const
    -> std::string {
  std::ostringstream out;
  const std::string comma = labels.empty() ? "" : ",";
  double seen = 0.0;
  int index = 0;
  for (const auto& bin : bh::indexed(this->bins->histogram)) {
    seen += *bin;
    if (++index % kPrintedEvery == 0) {
      out << name << "_bucket{" << labels << comma << "le=\""
          << bin.bin().upper() << "\"} " << seen << "\n";
    }
  }
  out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << this->total
      << "\n"
      << name << "_sum{" << labels << "} " << this->sum_seconds << "\n"
      << name << "_count{" << labels << "} " << this->total << "\n";
  return out.str();
}

}  // namespace auburnloft

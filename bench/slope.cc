#include "bench/slope.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace auburnloft::bench {

auto FitLine(Slope& slope) -> void {
  const auto count = static_cast<double>(slope.points.size());
  double mean_size = 0.0;
  double mean_value = 0.0;
  for (const Point& point : slope.points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const Point& point : slope.points) {
    covariance += (point.size - mean_size) * (point.value - mean_value);
    variance += (point.size - mean_size) * (point.size - mean_size);
  }
  slope.slope = covariance / variance;
  slope.intercept = mean_value - slope.slope * mean_size;
  for (const Point& point : slope.points) {
    const double line = slope.intercept + slope.slope * point.size;
    const double relative =
        std::abs(point.value - line) / std::max(1e-12, std::abs(point.value));
    slope.residual = std::max(slope.residual, relative);
  }
}

auto ToSvg(const Slope& slope) -> std::string {
  constexpr double kWidth = 420.0;
  constexpr double kHeight = 260.0;
  constexpr double kMargin = 48.0;
  double max_size = 0.0;
  double max_value = 0.0;
  for (const Point& point : slope.points) {
    max_size = std::max(max_size, point.size);
    max_value = std::max(max_value, point.value);
  }
  const auto x_of = [&](double size) {
    return kMargin + (kWidth - 2 * kMargin) * size / max_size;
  };
  const auto y_of = [&](double value) {
    return kHeight - kMargin - (kHeight - 2 * kMargin) * value / max_value;
  };
  std::ostringstream out;
  out << R"(<svg xmlns="http://www.w3.org/2000/svg" width="420" height="260" font-family="sans-serif" font-size="11">)"
      << "\n<rect width=\"420\" height=\"260\" fill=\"white\"/>\n"
      << "<line x1=\"" << x_of(0) << "\" y1=\"" << y_of(0) << "\" x2=\""
      << x_of(max_size) << "\" y2=\"" << y_of(0)
      << "\" stroke=\"black\"/>\n<line x1=\"" << x_of(0) << "\" y1=\""
      << y_of(0) << "\" x2=\"" << x_of(0) << "\" y2=\"" << y_of(max_value)
      << "\" stroke=\"black\"/>\n"
      << "<line x1=\"" << x_of(0) << "\" y1=\""
      << y_of(std::max(0.0, slope.intercept)) << "\" x2=\"" << x_of(max_size)
      << "\" y2=\"" << y_of(slope.intercept + slope.slope * max_size)
      << "\" stroke=\"steelblue\"/>\n";
  for (const Point& point : slope.points) {
    out << R"(<circle cx=")" << x_of(point.size) << R"(" cy=")"
        << y_of(point.value) << R"(" r="4" fill="firebrick"/>)"
        << "\n";
  }
  out << R"(<text x="48" y="24">)" << slope.name << ": " << slope.slope << " "
      << slope.unit << " per " << slope.per
      << "</text>\n<text x=\"48\" y=\"244\">0</text><text x=\"330\" y=\"244\">"
      << max_size << " " << slope.per << "</text>\n<text x=\"4\" y=\"44\">"
      << max_value << "</text>\n</svg>\n";
  return out.str();
}

}  // namespace auburnloft::bench

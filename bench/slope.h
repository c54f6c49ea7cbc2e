#ifndef BENCH_SLOPE_H_
#define BENCH_SLOPE_H_

#include <string>
#include <vector>

namespace auburnloft::bench {

/** A measurement at one size. */
struct Point {
  double size = 0.0;
  double value = 0.0;
};

/** Measurements at several sizes and the line through them, by least squares.
 */
struct Slope {
  std::string name;
  std::string per;   ///< What the size counts, such as `budget`.
  std::string unit;  ///< Of the value.
  std::vector<Point> points;
  double slope = 0.0;
  double intercept = 0.0;
  double residual = 0.0;  ///< The largest distance of a point from the line, as
                          ///< a part of its value.
};

/** Fits the line. @pre at least two points of different sizes. */
auto FitLine(Slope& slope) -> void;

/** The points and the line as an SVG picture. */
[[nodiscard]] auto ToSvg(const Slope& slope) -> std::string;

}  // namespace auburnloft::bench

#endif  // BENCH_SLOPE_H_

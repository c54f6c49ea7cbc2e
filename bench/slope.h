#ifndef BENCH_SLOPE_H_
#define BENCH_SLOPE_H_

#include <string>
#include <vector>

namespace auburnloft::bench {

/** A measured value at one size. */
struct Point {
  double size = 0.0;
  double value = 0.0;
};

/** Measurements at several sizes and the line fitted to them by least squares.
 */
struct Slope {
  std::string name;
  std::string per;   ///< What the size counts, such as `budget`.
  std::string unit;  ///< Unit of the value.
  std::vector<Point> points;
  double slope = 0.0;
  double intercept = 0.0;
  double residual = 0.0;  ///< Largest distance of a point from the line,
                          ///< relative to the value of the point.
};

/** Computes the line and the residual from the points. @pre at least two points
 * of different sizes. */
auto FitLine(Slope& slope) -> void;

/** Returns an SVG plot of the points and the line. @pre the line is fitted and
 * a size and a value are positive. */
[[nodiscard]] auto ToSvg(const Slope& slope) -> std::string;

}  // namespace auburnloft::bench

#endif  // BENCH_SLOPE_H_

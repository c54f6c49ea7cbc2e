#ifndef AL_CORE_ERRORS_FINDINGS_H_
#define AL_CORE_ERRORS_FINDINGS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnloft {

/** One error that a check found in its input. */
struct Finding {
  std::string location;  ///< A flag, a line number or a JSON path.
  std::string text;      ///< Describes the error.

  auto operator==(const Finding&) const -> bool = default;
};

/** Collects the errors of an input check, so that all are reported together.

    A check adds each error and continues. Its caller rejects the input if
   empty() is false at the end.

    Thread safety: none; use on one thread.
*/
class Findings {
 public:
  /** Adds an error at `location`. */
  auto Add(std::string_view location, std::string_view text) -> void;

  /** True if no error was added. */
  [[nodiscard]] auto empty() const -> bool;

  /** All findings in the order of Add(). */
  [[nodiscard]] auto all() const -> std::span<const Finding>;

  /** All findings, one per line, as `location: text`. */
  [[nodiscard]] auto ToText() const -> std::string;

 private:
  std::vector<Finding> items;
};

}  // namespace auburnloft

#endif  // AL_CORE_ERRORS_FINDINGS_H_

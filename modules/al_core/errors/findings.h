#ifndef AL_CORE_ERRORS_FINDINGS_H_
#define AL_CORE_ERRORS_FINDINGS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnloft {

/** One fault that a check found, with the place where it is. */
struct Finding {
  std::string location;  ///< A flag, a line or a JSON path.
  std::string text;      ///< A sentence that names what is wrong.

  auto operator==(const Finding&) const -> bool = default;
};

/** Collects what a check finds, so that all of it is reported together.

    A check adds every fault that it sees and goes on; the caller rejects the
   input when empty() is false at the end.

    Thread safety: none; used on one thread.
*/
class Findings {
 public:
  /** Notes a fault at `place`. */
  auto Add(std::string_view location, std::string_view text) -> void;

  /** True while nothing was found. */
  [[nodiscard]] auto empty() const -> bool;

  /** All findings in the order in which they were added. */
  [[nodiscard]] auto all() const -> std::span<const Finding>;

  /** All findings, a line each, as `place: text`. */
  [[nodiscard]] auto ToText() const -> std::string;

 private:
  std::vector<Finding> items;
};

}  // namespace auburnloft

#endif  // AL_CORE_ERRORS_FINDINGS_H_

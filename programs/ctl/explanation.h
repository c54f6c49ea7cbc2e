#ifndef PROGRAMS_CTL_EXPLANATION_H_
#define PROGRAMS_CTL_EXPLANATION_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/decision_log_line.h"

namespace auburnloft {

/** Gathers from routers' logs what decided one request: its own lines, and what
    its router believed just before.

    Feed it all lines in the order of each log.

    Thread safety: none; used on one thread.
*/
class Explanation {
 public:
  explicit Explanation(std::string id) : id(std::move(id)) {}

  auto Add(const DecisionLogLine& line) -> void;

  /** True once a line of the request was fed. */
  [[nodiscard]] auto has_lines() const -> bool { return !this->own.empty(); }

  /** The request's lines, what was believed before its end, and the cause. */
  [[nodiscard]] auto ToText() const -> std::string;

 private:
  /** The newest line of each kind of belief of one process. */
  struct Beliefs {
    std::map<std::string, std::string> by_kind;
  };

  auto RecordRouterState(const DecisionLogLine& line) -> void;

  std::string id;
  std::map<std::string, Beliefs> by_process;
  std::vector<DecisionLogLine> own;
  std::vector<std::string> believed;  ///< At the request's end.
};

/** What the reason of a `request` line means for its caller and operator. */
[[nodiscard]] auto DescribeCause(std::string_view why) -> std::string_view;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_EXPLANATION_H_

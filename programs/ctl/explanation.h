#ifndef PROGRAMS_CTL_EXPLANATION_H_
#define PROGRAMS_CTL_EXPLANATION_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/decision_log_line.h"

namespace auburnloft {

/** Collects from the decision logs of routers why a request ended as it did:
   the lines of the request, and the state of its router at its end.

    Add all lines of each log in their order.

    Thread safety: none; used on one thread.
*/
class Explanation {
 public:
  explicit Explanation(std::string id) : id(std::move(id)) {}

  auto Add(const DecisionLogLine& line) -> void;

  /** Whether a line of the request was added. */
  [[nodiscard]] auto has_lines() const -> bool {
    return !this->request_lines.empty();
  }

  /** Returns the router's state at the end of the request, the request's lines
     and the cause of its outcome. */
  [[nodiscard]] auto ToText() const -> std::string;

 private:
  /** The newest line of each kind of state of one router process. */
  struct RouterState {
    std::map<std::string, std::string>
        by_kind;  ///< By event and subject, such as `allowance/blue`.
  };

  /** Stores the line if it reports a state of its router. */
  auto RecordRouterState(const DecisionLogLine& line) -> void;

  std::string id;
  std::map<std::string, RouterState> by_process;
  std::vector<DecisionLogLine> request_lines;
  std::vector<std::string> state_lines;  ///< At the end of the request.
};

/** Returns what the field `why` of a `request` line means for an operator;
   empty if the value is unknown. */
[[nodiscard]] auto DescribeCause(std::string_view why) -> std::string_view;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_EXPLANATION_H_

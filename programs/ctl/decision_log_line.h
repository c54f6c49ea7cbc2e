#ifndef PROGRAMS_CTL_DECISION_LOG_LINE_H_
#define PROGRAMS_CTL_DECISION_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnloft {

/** A structured line of a router's decision log. */
struct DecisionLogLine {
  std::string process;  ///< Last word before the line's first field, or the
                        ///< file if there is none.
  std::string text;     ///< The whole line, unchanged.
  std::map<std::string, std::string, std::less<>> fields;

  /** @return empty if the line has no such field. */
  [[nodiscard]] auto Field(std::string_view name) const -> std::string_view;
};

/** Parses a line of `key=value` fields, the first of which is the time `t`.
    Values with spaces are in double quotes. Text before the first field, such
    as the prefix of a log collector, is allowed.
    @param file  used as the process if there is no text before the fields.
    @return none if the line is not a line of a decision log. */
[[nodiscard]] auto ParseDecisionLogLine(std::string_view text,
                                        std::string_view file)
    -> std::optional<DecisionLogLine>;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_DECISION_LOG_LINE_H_

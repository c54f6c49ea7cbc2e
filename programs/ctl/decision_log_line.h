#ifndef PROGRAMS_CTL_LOG_LINES_H_
#define PROGRAMS_CTL_LOG_LINES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnloft {

/** One structured line of a router's log. */
struct DecisionLogLine {
  std::string process;  ///< What stands before the line, or its file.
  std::string text;     ///< As written.
  std::map<std::string, std::string, std::less<>> fields;

  /** @return empty where the line has no such field. */
  [[nodiscard]] auto Field(std::string_view name) const -> std::string_view;
};

/** Reads `key=value` pairs, values with spaces in quotes.
    @param file  names the process where nothing stands before the pairs.
    @return none where the line is none of a router. */
[[nodiscard]] auto ParseDecisionLogLine(std::string_view text,
                                        std::string_view file)
    -> std::optional<DecisionLogLine>;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_LOG_LINES_H_

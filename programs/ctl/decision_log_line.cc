#include "ctl/decision_log_line.h"

#include <algorithm>

namespace auburnloft {

namespace {

constexpr std::string_view kStart = "t=";

/** Where the pairs begin: the first word that begins with the time. */
auto FindPairs(std::string_view text) -> std::size_t {
  if (text.starts_with(kStart)) {
    return 0;
  }
  const std::size_t found = text.find(" t=");
  return found == std::string_view::npos ? found : found + 1;
}

/** Takes one pair off the front of `rest`. */
auto TakePair(std::string_view& rest, DecisionLogLine& line) -> void {
  const std::size_t equals = rest.find('=');
  if (equals == std::string_view::npos) {
    rest = {};
    return;
  }
  const std::string name(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  const bool quoted = rest.starts_with('"');
  if (quoted) {
    rest.remove_prefix(1);
  }
  const std::size_t end = std::min(rest.size(), rest.find(quoted ? '"' : ' '));
  line.fields[name] = std::string(rest.substr(0, end));
  rest.remove_prefix(end);
  rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of("\" ")));
}

}  // namespace

auto DecisionLogLine::Field(std::string_view name) const -> std::string_view {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string_view() : found->second;
}

auto ParseDecisionLogLine(std::string_view text, std::string_view file)
    -> std::optional<DecisionLogLine> {
  const std::size_t begin = FindPairs(text);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  DecisionLogLine line;
  line.text = std::string(text);
  std::string_view before = text.substr(0, begin == 0 ? 0 : begin - 1);
  line.process = std::string(file);
  if (const std::size_t word = before.find_last_of(' ');
      !before.empty() && word != std::string_view::npos) {
    line.process = std::string(before.substr(word + 1));
  } else if (!before.empty()) {
    line.process = std::string(before);
  }
  std::string_view rest = text.substr(begin);
  while (!rest.empty()) {
    TakePair(rest, line);
  }
  return line.Field("event").empty() ? std::nullopt : std::optional(line);
}

}  // namespace auburnloft

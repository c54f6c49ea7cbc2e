#include "ctl/decision_log_line.h"

#include <algorithm>

namespace auburnloft {

namespace {

constexpr std::string_view kFirstField = "t=";

/** Returns the position of the first field, the time; npos if there is none. */
auto FindFields(std::string_view text) -> std::size_t {
  if (text.starts_with(kFirstField)) {
    return 0;
  }
  const std::size_t found = text.find(" t=");
  return found == std::string_view::npos ? found : found + 1;
}

/** Removes one field from the front of `rest` and adds it to `line`. */
auto TakeField(std::string_view& rest, DecisionLogLine& line) -> void {
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
  const std::size_t begin = FindFields(text);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  DecisionLogLine line;
  line.text = std::string(text);
  std::string_view prefix = text.substr(0, begin == 0 ? 0 : begin - 1);
  line.process = std::string(file);
  if (const std::size_t space = prefix.find_last_of(' ');
      !prefix.empty() && space != std::string_view::npos) {
    line.process = std::string(prefix.substr(space + 1));
  } else if (!prefix.empty()) {
    line.process = std::string(prefix);
  }
  std::string_view rest = text.substr(begin);
  while (!rest.empty()) {
    TakeField(rest, line);
  }
  return line.Field("event").empty() ? std::nullopt : std::optional(line);
}

}  // namespace auburnloft

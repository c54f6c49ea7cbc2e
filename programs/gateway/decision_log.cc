#include "gateway/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace auburnloft::gateway {

namespace {

/** Maximum lines of one event in a second. */
constexpr int kRoutineLines = 20;
constexpr int kNotableLines = 60;

auto NeedsQuotes(std::string_view text) -> bool {
  return text.empty() ||
         text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

auto AppendValue(std::string& line, std::string_view text) -> void {
  if (!NeedsQuotes(text)) {
    line.append(text);
    return;
  }
  line += '"';
  for (const char letter : text) {
    const bool control = static_cast<unsigned char>(letter) < ' ';
    line += letter == '"' || control ? '?' : letter;
  }
  line += '"';
}

}  // namespace

LogValue::LogValue(Duration duration) {
  constexpr double kMicrosPerMilli = 1000.0;
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.1f",
                static_cast<double>(duration.count()) / kMicrosPerMilli);
  this->text = buffer.data();
}

DecisionLog::DecisionLog(int descriptor) : output(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

auto DecisionLog::WriteLine(Severity severity,
                            std::string_view event,
                            std::initializer_list<LogField> fields,
                            Instant now) -> void {
  if (this->output < 0 || (severity == Severity::kRoutine && this->is_quiet)) {
    return;
  }
  auto found = this->line_rates.find(event);
  if (found == this->line_rates.end()) {
    found = this->line_rates.emplace(std::string(event), LineRate()).first;
  }
  LineRate& rate = found->second;
  if (!this->TryCountLine(rate, severity, now)) {
    ++rate.dropped;
    ++this->dropped_count;
    return;
  }
  std::string line = "t=" + std::to_string(ToUnixMillis(now)) + " event=";
  line.append(event);
  for (const LogField& item : fields) {
    line.append(" ").append(item.name).append("=");
    AppendValue(line, item.value.str());
  }
  if (rate.dropped > 0) {
    line.append(" left_out=").append(std::to_string(rate.dropped));
  }
  line += '\n';
  const ssize_t written = write(this->output, line.data(), line.size());
  if (written < 0) {
    ++rate.dropped;
    ++this->dropped_count;
  } else {
    rate.dropped = 0;
  }
}

auto DecisionLog::TryCountLine(LineRate& rate, Severity severity, Instant now)
    -> bool {
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t second = ToUnixMillis(now) / kMillisPerSecond;
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  const int max_lines =
      severity == Severity::kNotable ? kNotableLines : kRoutineLines;
  return ++rate.lines <= max_lines;
}

}  // namespace auburnloft::gateway

#ifndef GATEWAY_DECISION_LOG_H_
#define GATEWAY_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The value of a field, formatted as text; durations in milliseconds. */
class LogValue {
 public:
  LogValue(std::string_view text) : text(text) {}    // NOLINT
  LogValue(const std::string& text) : text(text) {}  // NOLINT
  LogValue(const char* text) : text(text) {}         // NOLINT
  LogValue(std::integral auto number)                // NOLINT
      : text(std::to_string(number)) {}
  LogValue(Duration duration);  // NOLINT

  [[nodiscard]] auto str() const -> const std::string& { return this->text; }

 private:
  std::string text;
};

/** One `name=value` pair of a line. */
struct LogField {
  std::string_view name;
  LogValue value;
};

/** Writes one structured line for each decision: `t=... event=...
    name=value ...`, `t` in Unix milliseconds.

    Each event has a limit of lines a second. Lines beyond the limit are dropped
    and counted; the next line of the event reports their number as `left_out`.
    Writing never blocks: a line that the output does not accept is dropped and
    counted too.

    Thread safety: none; used on one thread.
*/
class DecisionLog {
 public:
  /** Selects the rate limit of a line. */
  enum class Severity {
    kRoutine,  ///< For requests that succeed.
    kNotable,  ///< For failures and changes of state.
  };

  /** @param descriptor  the output; -1 discards all lines. It is made
      non-blocking. */
  explicit DecisionLog(int descriptor);

  DecisionLog(const DecisionLog&) = delete;
  auto operator=(const DecisionLog&) -> DecisionLog& = delete;

  /** Sets whether routine lines are discarded without being counted. */
  auto SetQuiet(bool quiet) -> void { this->is_quiet = quiet; }

  auto WriteLine(Severity severity,
                 std::string_view event,
                 std::initializer_list<LogField> fields,
                 Instant now) -> void;

  /** Lines dropped since the start. */
  [[nodiscard]] auto dropped_lines() const -> std::uint64_t {
    return this->dropped_count;
  }

 private:
  struct LineRate {
    std::int64_t second = 0;
    int lines = 0;
    std::uint64_t dropped = 0;
  };

  auto TryCountLine(LineRate& rate, Severity severity, Instant now) -> bool;

  int output;
  std::map<std::string, LineRate, std::less<>> line_rates;
  std::uint64_t dropped_count = 0;
  bool is_quiet = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_DECISION_LOG_H_

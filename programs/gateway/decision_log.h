#ifndef GATEWAY_DECISION_LOG_H_
#define GATEWAY_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** A value of a log line. */
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

struct LogField {
  std::string_view name;
  LogValue value;
};

/** Structured lines, one for each decision: `t=... event=...
   name=value ...`, durations in milliseconds.

    Bounded: each event has a number of lines a second; what is left out is
   counted and told with its next line. Never blocks: what the reader of the
   output does not take is dropped and counted.

    Thread safety: none; used on one thread.
*/
class DecisionLog {
 public:
  /** How much a line matters when there are many. */
  enum class Severity {
    kRoutine,  ///< Of each request that goes well.
    kNotable,  ///< A failure, or a changed belief.
  };

  /** @param descriptor  where the lines go; -1: nowhere. It is set not to
   * block. */
  explicit DecisionLog(int descriptor);

  DecisionLog(const DecisionLog&) = delete;
  auto operator=(const DecisionLog&) -> DecisionLog& = delete;

  /** Leaves routine lines out. */
  auto SetQuiet(bool quiet) -> void { this->is_quiet = quiet; }

  auto WriteLine(Severity severity,
                 std::string_view event,
                 std::initializer_list<LogField> fields,
                 Instant now) -> void;

  /** Lines left out since the start. */
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

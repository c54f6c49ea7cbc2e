#ifndef TESTS_SUPPORT_SESSION_RECORDER_H_
#define TESTS_SUPPORT_SESSION_RECORDER_H_

#include <string>
#include <vector>

#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** Writes down what the routers of a fleet decide, a line an action, for golden
   files.

    Heartbeats, reads of the log and changes of the configuration are left out:
   they would bury the session.
*/
class SessionRecorder {
 public:
  explicit SessionRecorder(VirtualFleet& fleet);

  SessionRecorder(const SessionRecorder&) = delete;
  auto operator=(const SessionRecorder&) -> SessionRecorder& = delete;

  /** Adds a line of the scenario's own. */
  auto AddLine(std::string_view text) -> void;

  [[nodiscard]] auto lines() const -> const std::vector<std::string>& {
    return this->recorded_lines;
  }

  /** Compares with a golden file, or writes it where AUBURNLOFT_UPDATE_GOLDEN
     is set.
      @return empty where they agree, else the first difference with the lines
     around it. */
  [[nodiscard]] auto CompareWith(const std::string& path) const -> std::string;

 private:
  [[nodiscard]] auto TimePrefix() const -> std::string;

  VirtualFleet& fleet;
  Instant start;
  std::vector<std::string> recorded_lines;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_SESSION_RECORDER_H_

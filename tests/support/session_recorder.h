#ifndef TESTS_SUPPORT_SESSION_RECORDER_H_
#define TESTS_SUPPORT_SESSION_RECORDER_H_

#include <string>
#include <vector>

#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** Records the actions of a fleet's routers, one line per action, for
   comparison with a golden file.

    Omits heartbeats, reads of the log and the exchange of configurations
   between routers, which would outnumber all other actions.
*/
class SessionRecorder {
 public:
  explicit SessionRecorder(VirtualFleet& fleet);

  SessionRecorder(const SessionRecorder&) = delete;
  auto operator=(const SessionRecorder&) -> SessionRecorder& = delete;

  /** Adds a line that describes a step of the scenario. */
  auto AddLine(std::string_view text) -> void;

  [[nodiscard]] auto lines() const -> const std::vector<std::string>& {
    return this->recorded_lines;
  }

  /** Compares the lines with a golden file, or writes the file if the
     environment variable AUBURNLOFT_UPDATE_GOLDEN is set.
      @return empty if they are equal or the file was written, else the first
     difference with the line before it. */
  [[nodiscard]] auto CompareWith(const std::string& path) const -> std::string;

 private:
  [[nodiscard]] auto TimePrefix() const -> std::string;

  VirtualFleet& fleet;
  Instant start;
  std::vector<std::string> recorded_lines;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_SESSION_RECORDER_H_

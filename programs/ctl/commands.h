#ifndef PROGRAMS_CTL_COMMANDS_H_
#define PROGRAMS_CTL_COMMANDS_H_

#include <span>
#include <string>
#include <string_view>

#include "al_edge/settings/settings_reader.h"

namespace auburnloft {

/** Exit codes of auburnloft-ctl. */
enum class CtlExit {
  kDone = 0,
  kRejected =
      1,       ///< The system answered no: a lost race, a fault in a document.
  kError = 2,  ///< The command line is wrong, or the platform does not answer.
};

/** Runs one command of auburnloft-ctl, such as `balance TEAM`, and prints its
   result.

    @param words  the command and its arguments.  @param settings  the flags,
   read.
*/
[[nodiscard]] auto RunCommand(std::span<const std::string> words,
                              const SettingsReader& settings) -> CtlExit;

/** The list of commands, for `--help` and for usage errors. */
[[nodiscard]] auto CommandHelp() -> std::string_view;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_COMMANDS_H_

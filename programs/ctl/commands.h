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
  kRejected = 1,  ///< The request was rejected: a newer configuration version
                  ///< exists, a document is invalid, or nothing was found.
  kError = 2,     ///< The command line is invalid, or no reply was received.
};

/** Runs one command of auburnloft-ctl, such as `balance TEAM`. Prints its
   result on standard output and the reason of a failure on standard error.

    @param words     the words of the command and its arguments.
    @param settings  the flags, after SettingsReader::Read().
*/
[[nodiscard]] auto RunCommand(std::span<const std::string> words,
                              const SettingsReader& settings) -> CtlExit;

/** Returns the syntax of all commands, for `--help` and for usage errors. */
[[nodiscard]] auto CommandHelp() -> std::string_view;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_COMMANDS_H_

#ifndef PROGRAMS_CTL_FLEET_COMMANDS_H_
#define PROGRAMS_CTL_FLEET_COMMANDS_H_

#include <optional>
#include <span>
#include <string>

#include "al_edge/settings/settings_reader.h"
#include "ctl/commands.h"

namespace auburnloft {

/** Runs a command for a gateway fleet: `fleet balances`, `fleet routers`,
    `fleet release-part PART`, `check FILE` or `explain ID FILE...`. Prints its
   result on standard output and the reason of a failure on standard error.
    @return none if `words` are none of these commands. */
[[nodiscard]] auto RunFleetCommand(std::span<const std::string> words,
                                   const SettingsReader& settings)
    -> std::optional<CtlExit>;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_COMMANDS_H_

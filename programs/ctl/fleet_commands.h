#ifndef PROGRAMS_CTL_FLEET_COMMANDS_H_
#define PROGRAMS_CTL_FLEET_COMMANDS_H_

#include <optional>
#include <span>
#include <string>

#include "al_edge/settings/settings_reader.h"
#include "ctl/commands.h"

namespace auburnloft {

/** Runs a command for a fleet on the users' platform: `fleet balances`, `fleet
   routers` or `explain ID FILE...`, and prints its result.
    @return none where `words` are none of these. */
[[nodiscard]] auto RunFleetCommand(std::span<const std::string> words,
                                   const SettingsReader& settings)
    -> std::optional<CtlExit>;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_COMMANDS_H_

#ifndef AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_
#define AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_

#include <optional>
#include <string_view>

#include "al_config/model/configuration.h"
#include "al_core/errors/findings.h"

namespace auburnloft {

/** Parses and checks the JSON text of a configuration.

    @param findings  receives a syntax error with its line, or every invalid
   value with its JSON path. Pass it empty.
    @return the configuration; empty if `findings` is not empty at the end of
   the call, even if its findings are from before the call.

    Thread safety: safe on any thread; accesses only its arguments.

    @see docs/CONFIGURATION.md
*/
[[nodiscard]] auto ParseConfiguration(std::string_view text, Findings& findings)
    -> std::optional<Configuration>;

}  // namespace auburnloft

#endif  // AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_

#ifndef AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_
#define AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_

#include <optional>
#include <string_view>

#include "al_config/model/configuration.h"
#include "al_core/errors/findings.h"

namespace auburnloft {

/** Parses and checks the JSON text of a configuration.

    @return the configuration, or empty where `findings` is not: a syntax error
   with its line, or every fault with its JSON path. Thread safety: safe on any
   thread; touches only its arguments.

    @see docs/CONFIGURATION.md
*/
[[nodiscard]] auto ParseConfiguration(std::string_view text, Findings& findings)
    -> std::optional<Configuration>;

}  // namespace auburnloft

#endif  // AL_CONFIG_CHECK_CONFIGURATION_PARSER_H_

#ifndef PROGRAMS_CTL_CONFIG_CHECK_COMMAND_H_
#define PROGRAMS_CTL_CONFIG_CHECK_COMMAND_H_

#include <iosfwd>
#include <string>

#include "ctl/commands.h"

namespace auburnloft {

/** What `check FILE [--against FILE] [--json]` is asked to do. */
struct ConfigCheckInput {
  std::string file;     ///< The configuration of a gateway fleet.
  std::string against;  ///< The version in force; empty: no comparison.
  bool as_json = false;
};

/** Checks a configuration with the routers' parser and ConfigCheck, and prints
    the findings, and the differences from the version in force, to `output`. It
    changes nothing.
    @return kDone without findings, kRejected with some, kError if a file cannot
    be read, or the one in force cannot be parsed. */
[[nodiscard]] auto CheckFleetConfig(const ConfigCheckInput& input,
                                    std::ostream& output,
                                    std::ostream& errors) -> CtlExit;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_CONFIG_CHECK_COMMAND_H_

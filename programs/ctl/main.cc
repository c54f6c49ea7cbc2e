#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "ctl/commands.h"

auto main(int argc, char** argv) -> int {
  auburnloft::SettingsReader settings(
      "Manages a fleet of routers: its configuration, the budgets of teams and "
      "requests whose outcome is unknown.");
  settings.DeclareText("platform-address",
                       "address of the log service, as ip:port", "");
  settings.DeclareText("log-address",
                       "address of the log service of a gateway fleet, as "
                       "ip:port",
                       "");
  settings.DeclareInteger("watch-ms",
                          "time to watch the log for active routers, in "
                          "milliseconds",
                          1'500, 0, 60'000);
  settings.DeclareText("operator",
                       "name of the operator, recorded with each change",
                       "operator");
  settings.DeclareText("reason", "reason of a change, recorded with it", "");
  settings.DeclareText("id",
                       "ID of a top-up; a top-up with the same ID has no "
                       "effect; default: a random ID",
                       "");
  settings.DeclareText("key", "bearer key of a new team; default: a random key",
                       "");
  settings.DeclareText("admin-key", "admin key of the router to drain", "");
  settings.DeclareInteger("base",
                          "configuration version that a published file is "
                          "based on; -1: the newest",
                          -1, -1, 1'000'000'000);
  settings.DeclareText("against",
                       "configuration file in force, with which check compares "
                       "another",
                       "");
  settings.DeclareSwitch("json", "print the result of check as JSON");
  settings.DeclareArguments("command", auburnloft::CommandHelp());
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return static_cast<int>(auburnloft::CtlExit::kError);
  }
  const std::vector<std::string> positional_arguments =
      settings.positional_arguments();
  return static_cast<int>(
      auburnloft::RunCommand(positional_arguments, settings));
}

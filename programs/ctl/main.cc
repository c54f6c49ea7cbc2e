#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "ctl/commands.h"

auto main(int argc, char** argv) -> int {
  auburnloft::SettingsReader settings(
      "Operates a fleet of routers: configuration, budgets, unknown outcomes.");
  settings.DeclareText("platform-address", "where the log is, as ip:port", "");
  settings.DeclareText("log-address",
                       "where the users' platform has its log, as ip:port", "");
  settings.DeclareWhole("watch-ms",
                        "how long routers are watched to see which live", 1'500,
                        0, 60'000);
  settings.DeclareText("operator", "who does this, for the record", "operator");
  settings.DeclareText("reason", "why, for the record", "");
  settings.DeclareText("id", "id of a top-up; a repeat has no effect", "");
  settings.DeclareText("key", "bearer key of a new team; else a random one",
                       "");
  settings.DeclareText("admin-key", "admin key of the router", "");
  settings.DeclareWhole("base",
                        "version that a published file is based on; -1 for "
                        "the newest",
                        -1, -1, 1'000'000'000);
  settings.DeclareWords("command", auburnloft::CommandHelp());
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return static_cast<int>(auburnloft::CtlExit::kError);
  }
  const std::vector<std::string> words = settings.words();
  return static_cast<int>(auburnloft::RunCommand(words, settings));
}

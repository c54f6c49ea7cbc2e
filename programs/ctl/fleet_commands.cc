#include "ctl/fleet_commands.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/config_check_command.h"
#include "ctl/decision_log_line.h"
#include "ctl/explanation.h"
#include "ctl/fleet_reader.h"
#include "ctl/fleet_view.h"
#include "ctl/prompt_release.h"

namespace auburnloft {

namespace {

using Words = std::span<const std::string>;

/** Returns the address of the fleet's log service; empty, with the reason on
    standard error, if none is set. */
auto LogAddress(const SettingsReader& settings) -> std::string {
  std::string address = settings.Text("log-address");
  if (address.empty()) {
    std::cerr
        << "--log-address or AUBURNLOFT_LOG_ADDRESS: this command requires "
           "an address\n";
  }
  return address;
}

/** Prints the balances or the routers of a fleet. */
auto ShowFleet(bool show_balances, const SettingsReader& settings) -> CtlExit {
  const std::string address = LogAddress(settings);
  if (address.empty()) {
    return CtlExit::kError;
  }
  FleetView view;
  const auto watch_time =
      std::chrono::milliseconds(settings.Integer("watch-ms"));
  if (!ReadFleet(address, watch_time, view)) {
    return CtlExit::kError;
  }
  std::cout
      << (show_balances ? view.BalancesAsJson() : view.RoutersAsJson()).dump(2)
      << "\n";
  return CtlExit::kDone;
}

/** Releases a quarantined prompt part at all routers. */
auto ReleasePart(const std::string& part, const SettingsReader& settings)
    -> CtlExit {
  const std::string address = LogAddress(settings);
  return !address.empty() && ReleasePromptPart(address, part) ? CtlExit::kDone
                                                              : CtlExit::kError;
}

/** Prints the explanation of one request from decision logs. */
auto Explain(const std::string& id, Words files) -> CtlExit {
  Explanation explanation(id);
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      std::cerr << file << ": the file cannot be opened\n";
      return CtlExit::kError;
    }
    for (std::string text; std::getline(input, text);) {
      if (const auto line = ParseDecisionLogLine(text, file)) {
        explanation.Add(*line);
      }
    }
  }
  if (!explanation.has_lines()) {
    std::cerr << "no line of request " << id
              << " was found in the given files\n";
    return CtlExit::kRejected;
  }
  std::cout << explanation.ToText();
  return CtlExit::kDone;
}

}  // namespace

auto RunFleetCommand(Words words, const SettingsReader& settings)
    -> std::optional<CtlExit> {
  if (words.size() == 2 && words[0] == "fleet" &&
      (words[1] == "balances" || words[1] == "routers")) {
    return ShowFleet(words[1] == "balances", settings);
  }
  if (words.size() == 3 && words[0] == "fleet" && words[1] == "release-part") {
    return ReleasePart(words[2], settings);
  }
  if (words.size() == 2 && words[0] == "check") {
    return CheckFleetConfig(
        {words[1], settings.Text("against"), settings.Switch("json")},
        std::cout, std::cerr);
  }
  if (words.size() >= 3 && words[0] == "explain") {
    return Explain(words[1], words.subspan(2));
  }
  return std::nullopt;
}

}  // namespace auburnloft

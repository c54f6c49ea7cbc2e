#include "ctl/config_check_command.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <sstream>
#include <vector>

#include "al_gateway/config_check/config_check.h"
#include "platform/config_codec.h"

namespace auburnloft {

namespace {

using Difference = gateway::ConfigCheck::Difference;

auto ReadFile(const std::string& path, std::ostream& errors)
    -> std::optional<std::string> {
  const std::ifstream input(path);
  std::ostringstream text;
  if (!input || !(text << input.rdbuf())) {
    errors << path << ": the file cannot be read\n";
    return std::nullopt;
  }
  return text.str();
}

auto PrintAsText(const Findings& findings,
                 const std::vector<Difference>& differences,
                 std::ostream& output) -> void {
  output << findings.ToText();
  for (const Difference& difference : differences) {
    output << difference.change << " " << difference.entry;
    for (const std::string& field : difference.fields) {
      output << " " << field;
    }
    output << "\n";
  }
}

auto PrintAsJson(const Findings& findings,
                 const std::vector<Difference>& differences,
                 std::ostream& output) -> void {
  nlohmann::json result;
  result["findings"] = nlohmann::json::array();
  for (const Finding& finding : findings.all()) {
    result["findings"].push_back(
        {{"place", finding.location}, {"reason", finding.text}});
  }
  result["differences"] = nlohmann::json::array();
  for (const Difference& difference : differences) {
    result["differences"].push_back({{"entry", difference.entry},
                                     {"change", difference.change},
                                     {"fields", difference.fields}});
  }
  output << result.dump(2) << "\n";
}

}  // namespace

auto CheckFleetConfig(const ConfigCheckInput& input,
                      std::ostream& output,
                      std::ostream& errors) -> CtlExit {
  const auto text = ReadFile(input.file, errors);
  if (!text) {
    return CtlExit::kError;
  }
  Findings findings;
  const auto config = platform::ReadConfig(*text, findings);
  if (config) {
    findings = gateway::ConfigCheck({}).Check(*config);
  }
  std::vector<Difference> differences;
  if (!input.against.empty()) {
    const auto text_in_force = ReadFile(input.against, errors);
    Findings findings_in_force;
    const auto in_force =
        text_in_force ? platform::ReadConfig(*text_in_force, findings_in_force)
                      : std::nullopt;
    if (!in_force) {
      errors << input.against << ": " << findings_in_force.ToText();
      return CtlExit::kError;
    }
    if (config) {
      if (config->version <= in_force->version) {
        findings.Add("/Version", "is not above the version in force");
      }
      differences = gateway::ConfigCheck::Compare(*in_force, *config);
    }
  }
  (input.as_json ? PrintAsJson : PrintAsText)(findings, differences, output);
  return findings.empty() ? CtlExit::kDone : CtlExit::kRejected;
}

}  // namespace auburnloft

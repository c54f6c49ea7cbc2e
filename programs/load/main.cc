#include <fstream>
#include <iostream>
#include <sstream>

#include "al_core/text/split_list.h"
#include "al_edge/settings/settings_reader.h"
#include "load/audit.h"
#include "load/load_generator.h"
#include "load/report.h"
#include "load/workload.h"

namespace {

using namespace auburnloft;        // NOLINT(google-build-using-namespace)
using namespace auburnloft::load;  // NOLINT(google-build-using-namespace)

auto DeclareSettings(SettingsReader& settings) -> void {
  settings.DeclareRequiredText("workload",
                               "JSON file with the teams and request kinds");
  settings.DeclareRequiredText(
      "routers", "router addresses that serve entry lists, comma-separated");
  settings.DeclareSwitch(
      "direct", "send to --routers directly instead of using entry lists");
  settings.DeclareInteger("rate", "requests per second", 20, 1, 100'000);
  settings.DeclareInteger("seconds", "duration of the load in seconds", 10, 1,
                          86'400);
  settings.DeclareInteger(
      "grace-seconds",
      "how long to wait for responses after the last request, in seconds", 30,
      1, 3600);
  settings.DeclareInteger("seed", "seed of the random request schedule", 1, 0,
                          1'000'000'000);
  settings.DeclareText(
      "platform-address",
      "address of the log service, to audit the bills; empty for no audit", "");
  settings.DeclareText(
      "services",
      "stand-in services that report execution counts, comma-separated", "");
  settings.DeclareText(
      "all-routers",
      "routers that report their active incarnations; default: --routers", "");
  settings.DeclareInteger(
      "settle-seconds",
      "how long the audit waits for missing bills, in seconds", 15, 0, 3600);
  settings.DeclareText("name", "name of the run in the report", "load");
  settings.DeclareText("json", "output file of the report", "");
}

auto ReadWorkload(const std::string& path) -> std::optional<Workload> {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  Findings findings;
  std::optional<Workload> workload = ParseWorkload(text.str(), findings);
  if (!workload) {
    std::cerr << path << ":\n" << findings.ToText();
  }
  return workload;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Generates load and verifies the responses and the bills.");
  DeclareSettings(settings);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  const std::optional<Workload> workload =
      ReadWorkload(settings.Text("workload"));
  if (!workload) {
    return 2;
  }
  std::vector<TeamId> teams;
  for (const TeamLoad& team : workload->teams) {
    teams.push_back(team.team);
  }
  LoadGenerator::Options options;
  options.bootstrap = SplitList(settings.Text("routers"));
  options.uses_entry_lists = !settings.Switch("direct");
  options.rate = static_cast<double>(settings.Integer("rate"));
  options.duration = std::chrono::seconds(settings.Integer("seconds"));
  options.grace = std::chrono::seconds(settings.Integer("grace-seconds"));
  options.seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  const std::string all_routers = settings.Text("all-routers");
  std::optional<Audit> audit;
  if (!settings.Text("platform-address").empty()) {
    audit.emplace(
        settings.Text("platform-address"),
        all_routers.empty() ? options.bootstrap : SplitList(all_routers),
        SplitList(settings.Text("services")));
    options.budgets = audit->ReadBudgets(teams);
  }
  LoadGenerator run(*workload, std::move(options));
  run.Run();
  std::optional<AuditReport> audited;
  if (audit) {
    audited =
        audit->Run(teams, run.results(),
                   std::chrono::seconds(settings.Integer("settle-seconds")));
  }
  const nlohmann::json report =
      MakeReport(settings.Text("name"), run, audited ? &*audited : nullptr);
  std::cout << FormatTable(report);
  if (!settings.Text("json").empty()) {
    std::ofstream(settings.Text("json")) << report.dump(2) << "\n";
  }
  return 0;
}

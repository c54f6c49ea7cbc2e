#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "al_edge/settings/settings_reader.h"
#include "bench/policy_bench.h"

namespace {

using namespace auburnloft;         // NOLINT(google-build-using-namespace)
using namespace auburnloft::bench;  // NOLINT(google-build-using-namespace)

auto Policies() -> std::vector<PolicyCase> {
  const auto demand = [](int cover, bool transfers, bool reclaim) {
    return nlohmann::json{{"policy", "demand_led"},
                          {"cover_seconds", cover},
                          {"transfers", transfers},
                          {"reclaim", reclaim}};
  };
  return {
      {"fixed split (baseline)",
       {{"policy", "fixed_split"}, {"reclaim", false}},
       true},
      {"fixed chunk of 10,000",
       {{"policy", "fixed_chunk"},
        {"chunk_tokens", 10'000},
        {"reclaim", false}},
       false},
      {"demand 60 s", demand(60, false, false), false},
      {"demand 60 s, transfers", demand(60, true, false), false},
      {"demand 3600 s, transfers", demand(3600, true, false), false},
      {"demand 60 s, transfers, reclaim", demand(60, true, true), false},
      {"demand 600 s, transfers, reclaim", demand(600, true, true), false},
      {"demand 3600 s, transfers, reclaim", demand(3600, true, true), false},
  };
}

auto Scenarios() -> std::vector<Scenario> {
  std::vector<Scenario> all;
  all.push_back({"calm", std::chrono::minutes(10), 3.0, false, false, false});
  all.push_back(
      {"following the sun", std::chrono::minutes(10), 1.5, true, false, false});
  all.push_back({"one-hour partition", std::chrono::minutes(90), 3.0, false,
                 true, false});
  all.push_back({"2% of budget left", std::chrono::minutes(10), 0.06, false,
                 false, false});
  all.push_back({"a router fails each minute", std::chrono::minutes(10), 1.5,
                 false, false, true});
  return all;
}

auto Row(const Scenario& scenario,
         const PolicyCase& policy,
         const PolicyBench::Result& result) -> std::string {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "| " << scenario.name << " | "
      << policy.name << " | " << result.overspend << " | "
      << result.false_refusals_per_10k << " | " << result.stranded_share * 100.0
      << "% | " << result.peer_bytes_per_router_per_second << " | "
      << result.log_appends_per_second << " |"
      << (result.violation.empty() ? "" : " " + result.violation);
  return out.str();
}

}  // namespace

/** Prints the table of allowance policies and scenarios of docs/DESIGN.md.
 * Exits with 1 if a budget was overspent or a guarantee violated. */
auto main(int argc, char** argv) -> int {
  SettingsReader settings("Compares allowance policies in virtual time.");
  settings.DeclareInteger("seed", "seed of the requests and faults", 1, 0,
                          1'000'000'000);
  settings.DeclareInteger(
      "situation", "index of the only scenario to run, from 0; -1 for all", -1,
      -1, 4);
  settings.DeclareInteger("policy",
                          "index of the only policy to run, from 0; -1 for all",
                          -1, -1, 7);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  const auto seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  const std::int64_t only = settings.Integer("situation");
  const std::vector<Scenario> scenarios = Scenarios();
  bool all_held = true;
  if (only <= 0) {
    std::cout
        << "| scenario | policy | overspend | false refusals per 10,000 | "
           "stranded | peer bytes/s per router | appends/s "
           "|\n|---|---|---|---|---|---|---|\n";
  }
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    if (only >= 0 && static_cast<std::size_t>(only) != i) {
      continue;
    }
    const std::vector<PolicyCase> policies = Policies();
    for (std::size_t number = 0; number < policies.size(); ++number) {
      const std::int64_t wanted = settings.Integer("policy");
      if (wanted >= 0 && static_cast<std::size_t>(wanted) != number) {
        continue;
      }
      const PolicyCase& policy = policies[number];
      PolicyBench bench(policy, scenarios[i], seed);
      const PolicyBench::Result result = bench.Run();
      all_held = all_held && result.violation.empty() && result.overspend == 0;
      std::cout << Row(scenarios[i], policy, result) << std::endl;
    }
  }
  return all_held ? 0 : 1;
}

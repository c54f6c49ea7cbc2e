// Compares ways to distribute allowances of one team, in virtual time: all
// routers lose their connection to the log service for a while and are killed
// at the end.
#include <array>
#include <cstdio>
#include <string_view>

#include "support/allowance_fleet.h"

namespace {

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kBudget = 3'000'000;
constexpr Duration kTimeBeforeCut = std::chrono::seconds(12);
constexpr Duration kCutTime = std::chrono::seconds(8);
constexpr Duration kTimeAfterCut = std::chrono::seconds(4);

struct Approach {
  std::string_view name;
  bool transfers = true;
  int reserve_holders = 6;
};

constexpr std::array<Approach, 3> kApproaches = {{
    {"no transfers", false, 1'000'000},
    {"transfers, all routers hold the reserve", true, 1'000'000},
    {"transfers, six routers hold the reserve", true, 6},
}};

auto RunApproach(const Approach& approach, int routers) -> void {
  AllowanceFleet::Settings settings;
  settings.routers = routers;
  settings.reserve_holders = approach.reserve_holders;
  settings.transfers_enabled = approach.transfers;
  settings.budget = kBudget;
  AllowanceFleet fleet(settings);
  fleet.Run(kTimeBeforeCut);
  const AllowanceFleet::Report before = fleet.report();
  fleet.SetLogCut(-1, true);
  fleet.Run(kCutTime);
  const AllowanceFleet::Report after = fleet.report();
  fleet.SetLogCut(-1, false);
  fleet.Run(kTimeAfterCut);
  fleet.Kill(-1);
  const double requests = static_cast<double>(after.requests) -
                          static_cast<double>(before.requests);
  const double refused = static_cast<double>(after.refused_despite_budget) -
                         static_cast<double>(before.refused_despite_budget);
  const double router_seconds = routers * ToSeconds(kTimeBeforeCut);
  std::printf("| %d | %s | %.1f%% | %.1f%% | %.2f | %.0f | %s |\n", routers,
              std::string(approach.name).c_str(), 100.0 * refused / requests,
              100.0 * static_cast<double>(fleet.report().stranded) /
                  static_cast<double>(kBudget),
              static_cast<double>(before.appends) / router_seconds,
              static_cast<double>(before.append_bytes) / router_seconds,
              fleet.report().overspent ? "OVERSPENT" : "held");
}

}  // namespace

auto main() -> int {
  std::printf(
      "| routers | approach | false refusals during the cut | stranded after "
      "the kill | "
      "appends/s per router | bytes/s per router | budget |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const int routers : {8, 85, 420}) {
    for (const Approach& approach : kApproaches) {
      RunApproach(approach, routers);
    }
  }
  return 0;
}

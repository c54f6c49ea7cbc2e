// Compares ways to hold budgets, in virtual time: one team, a cut of all
// routers off the log, then a loss of all routers.
#include <array>
#include <cstdio>
#include <string_view>

#include "support/allowance_fleet.h"

namespace {

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kBudget = 3'000'000;
constexpr Duration kBefore = std::chrono::seconds(12);
constexpr Duration kCut = std::chrono::seconds(8);
constexpr Duration kAfter = std::chrono::seconds(4);

struct Way {
  std::string_view name;
  bool gifts = true;
  int reserve_holders = 6;
};

constexpr std::array<Way, 3> kWays = {{
    {"own allowances only", false, 1'000'000},
    {"all hold the reserve, gifts", true, 1'000'000},
    {"six hold the reserve, gifts", true, 6},
}};

auto Play(const Way& way, int routers) -> void {
  AllowanceFleet::Settings settings;
  settings.routers = routers;
  settings.reserve_holders = way.reserve_holders;
  settings.transfers_enabled = way.gifts;
  settings.budget = kBudget;
  AllowanceFleet fleet(settings);
  fleet.Run(kBefore);
  const AllowanceFleet::Report before = fleet.report();
  fleet.SetLogCut(-1, true);
  fleet.Run(kCut);
  const AllowanceFleet::Report after = fleet.report();
  fleet.SetLogCut(-1, false);
  fleet.Run(kAfter);
  fleet.Kill(-1);
  const double asked = static_cast<double>(after.requests) -
                       static_cast<double>(before.requests);
  const double refused = static_cast<double>(after.refused_despite_budget) -
                         static_cast<double>(before.refused_despite_budget);
  const double node_seconds = routers * ToSeconds(kBefore);
  std::printf("| %d | %s | %.1f%% | %.1f%% | %.2f | %.0f | %s |\n", routers,
              std::string(way.name).c_str(), 100.0 * refused / asked,
              100.0 * static_cast<double>(fleet.report().stranded) /
                  static_cast<double>(kBudget),
              static_cast<double>(before.appends) / node_seconds,
              static_cast<double>(before.append_bytes) / node_seconds,
              fleet.report().overspent ? "OVERSPENT" : "held");
}

}  // namespace

auto main() -> int {
  std::printf(
      "| routers | way | refused falsely in the cut | stranded by the loss | "
      "appends/s a router | bytes/s a router | budget |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const int routers : {8, 85, 420}) {
    for (const Way& way : kWays) {
      Play(way, routers);
    }
  }
  return 0;
}

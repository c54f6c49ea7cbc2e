/** Compares ways to choose engines of unequal pace in virtual time: the table
   of docs/design/engine-pace.md. */
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <numeric>
#include <vector>

#include "al_edge/settings/settings_reader.h"
#include "support/paced_fleet.h"

namespace {

using auburnloft::testing::PacedFleet;

struct NamedPolicy {
  PacedFleet::Policy policy;
  const char* name;
};

constexpr std::array<NamedPolicy, 5> kPolicies = {{
    {PacedFleet::Policy::kNoPace, "without paces"},
    {PacedFleet::Policy::kPace, "with paces"},
    {PacedFleet::Policy::kTwoChoices, "two random choices"},
    {PacedFleet::Policy::kLeastOpen, "least open"},
    {PacedFleet::Policy::kOracle, "oracle"},
}};

constexpr double kLongObjectiveMs = 1'000.0;
constexpr double kShortObjectiveMs = 400.0;

auto PrintRow(const PacedFleet::Settings& settings, const char* name) -> void {
  const PacedFleet::Result result = PacedFleet(settings).Run();
  std::vector<double> all = result.long_ms;
  all.insert(all.end(), result.short_ms.begin(), result.short_ms.end());
  const auto slow = std::lround(settings.engines * settings.slow_share);
  const auto& counts = result.requests_by_engine;
  const int slow_count =
      std::accumulate(counts.begin(), counts.begin() + slow, 0);
  const int count = std::accumulate(counts.begin(), counts.end(), 0);
  using auburnloft::testing::Quantile;
  using auburnloft::testing::ShareWithin;
  std::printf(
      "| %d | %s | %.3f | %.3f | %.0f / %.0f / %.0f | %.0f / %.0f / %.0f | "
      "%.3f | %.3f | %.0f | %.0f |\n",
      settings.routers, name, ShareWithin(result.long_ms, kLongObjectiveMs),
      ShareWithin(result.short_ms, kShortObjectiveMs),
      Quantile(result.long_ms, 0.5), Quantile(result.long_ms, 0.95),
      Quantile(result.long_ms, 0.99), Quantile(result.short_ms, 0.5),
      Quantile(result.short_ms, 0.95), Quantile(result.short_ms, 0.99),
      count == 0 ? 0.0 : static_cast<double>(slow_count) / count,
      result.unequal_share, result.bytes_per_router_second,
      result.reader_bytes_per_second);
  std::fflush(stdout);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auburnloft::SettingsReader reader(
      "Compares ways to choose engines in virtual time.");
  reader.DeclareInteger("seed", "seed of requests and noise", 1, 0, 1'000'000);
  reader.DeclareInteger("rate", "requests a second of the fleet", 600, 1,
                        100'000);
  reader.DeclareInteger("engines", "number of engines", 60, 2, 1'000);
  reader.DeclareInteger("routers", "size of the only fleet; 0: 8, 91 and 195",
                        0, 0, 1'000);
  reader.DeclareInteger("equal", "1: all engines have the nominal time", 0, 0,
                        1);
  reader.DeclareInteger("noise", "intervals with noise, of 100", 15, 0, 100);
  reader.DeclareInteger("policies", "how many of the five ways to run", 5, 1,
                        5);
  if (!reader.Read(argc, argv)) {
    std::cerr << reader.findings().ToText();
    return 2;
  }
  std::printf(
      "| routers | way | long within 1 s | short within 0.4 s | long p50 / p95 "
      "/ p99 ms | short p50 / p95 / p99 ms | share of slow engines | engines "
      "believed unequal | bytes/s a router | most of a reader "
      "|\n|---|---|---|---|---|---|---|---|---|---|\n");
  std::vector<int> fleets = {8, 91, 195};
  if (reader.Integer("routers") > 0) {
    fleets = {static_cast<int>(reader.Integer("routers"))};
  }
  for (const int routers : fleets) {
    for (std::size_t i = 0;
         i < static_cast<std::size_t>(reader.Integer("policies")); ++i) {
      PacedFleet::Settings settings;
      settings.policy = kPolicies.at(i).policy;
      settings.routers = routers;
      settings.engines = static_cast<int>(reader.Integer("engines"));
      settings.requests_per_second =
          static_cast<double>(reader.Integer("rate"));
      constexpr double kPercent = 100.0;
      settings.noise_share =
          static_cast<double>(reader.Integer("noise")) / kPercent;
      settings.seed = static_cast<std::uint64_t>(reader.Integer("seed"));
      if (reader.Integer("equal") == 1) {
        settings.slow_factor = 1.0;
        settings.fast_factor = 1.0;
      }
      PrintRow(settings, kPolicies.at(i).name);
    }
  }
  return 0;
}

// Prints what becomes of requests in a crowd, by policy and number of routers:
// see docs/design/admission.md.
#include <array>
#include <cstdio>
#include <string_view>

#include "support/admission_play.h"
#include "support/place_play.h"

namespace {

using auburnloft::testing::AdmissionPlay;
using auburnloft::testing::PlacePlay;

auto Print(const char* who, const AdmissionPlay::Tally& tally) -> void {
  const double all = tally.requests > 0 ? tally.requests : 1.0;
  std::printf(" | %s %.2f / %.2f / %.2f / %.2f", who, tally.in_time / all,
              tally.late / all, tally.refused / all, tally.refused_again / all);
}

auto Play(const AdmissionPlay::Settings& settings) -> void {
  constexpr std::array<const char*, 4> kNames = {"all", "random", "equal",
                                                 "pressure"};
  AdmissionPlay play(settings);
  play.Run();
  std::printf("%3d %-8s", settings.routers,
              kNames[static_cast<std::size_t>(settings.policy)]);
  Print("sum", play.All());
  for (const AdmissionPlay::Kind& kind : settings.kinds) {
    Print(kind.name.c_str(), play.OfKind(kind.name));
  }
  Print("team 0", play.OfTeam(0));
  Print("others", play.OfTeamsExcept(0));
  for (const AdmissionPlay::Kind& kind : settings.kinds) {
    std::printf(" | large %s %.2f", kind.name.c_str(),
                play.OfLarge(kind.name).ServedInTime());
    for (const auto& [reason, count] : play.Refusals(kind.name)) {
      std::printf(", %s: %d", reason.c_str(), count);
    }
  }
  std::printf("\n");
}

auto PlayPlaces() -> void {
  for (const int routers : {8, 78, 195, 420}) {
    for (const double burst : {1.0, 4.0, 6.0, 8.0, 12.0}) {
      for (const PlacePlay::Policy policy :
           {PlacePlay::Policy::kAtOnce, PlacePlay::Policy::kPlaceQueue}) {
        PlacePlay::Settings settings;
        settings.policy = policy;
        settings.routers = routers;
        settings.burst = burst;
        PlacePlay::Tally sums;
        for (settings.seed = 1; settings.seed <= 5; ++settings.seed) {
          PlacePlay play(settings);
          play.Run();
          sums += play.tally();
        }
        const double all = sums.requests;
        std::printf(
            "%3d burst %.1f %-6s in time %.3f late %.3f refused %.3f, refused "
            "tries %d, by upstreams %d, most connections %d\n",
            routers, burst,
            policy == PlacePlay::Policy::kAtOnce ? "atonce" : "queue",
            sums.in_time / all, sums.late / all, sums.refused / all,
            sums.refused_tries, sums.refused_upstream, sums.most_connections);
      }
    }
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  using Policy = AdmissionPlay::Policy;
  struct Load {
    const char* name;
    double crowd;
    double first_team;
    int repeating_team;
  };
  constexpr std::array<Load, 4> kLoads = {
      {{"usual load", 1.0, 1.0, -1},
       {"crowd: the least urgent kind at 2.5 times its usual load", 2.5, 1.0,
        -1},
       {"team 0 at 7.5 times its usual load", 1.0, 7.5, -1},
       {"the crowd, and callers of team 0 repeat at once", 2.5, 1.0, 0}}};
  std::printf("in time / late / refused / refused again, per request\n");
  for (const Load& load : kLoads) {
    if (argc > 1 &&
        std::string_view(load.name).find(argv[1]) == std::string_view::npos) {
      continue;
    }
    std::printf("\n%s\n", load.name);
    for (const int routers : {8, 78, 195}) {
      for (const Policy policy : {Policy::kAll, Policy::kRandom,
                                  Policy::kEqualShares, Policy::kPressure}) {
        AdmissionPlay::Settings settings =
            AdmissionPlay::CrowdSettings(load.crowd);
        settings.policy = policy;
        settings.routers = routers;
        settings.first_team_factor = load.first_team;
        settings.repeating_team = load.repeating_team;
        Play(settings);
      }
    }
  }
  if (argc < 2 || std::string_view(argv[1]) == "places") {
    std::printf(
        "\nplain service: 3 upstreams with 6 slots, half of 80 "
        "requests a second at 3 routers, bursts of a "
        "quarter of a second in every two\n");
    PlayPlaces();
  }
  return 0;
}

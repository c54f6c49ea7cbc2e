// Prints, for each share of second attempts, the quantiles of the time to the
// first event of streams and of plain responses, in virtual time: the table of
// docs/design/hedging.md.
#include <array>
#include <cstdio>
#include <string_view>

#include "support/hedge_play.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)
using testing::HedgePlay;

struct Load {
  std::string_view name;
  HedgePlay::Settings settings{};
};

auto StreamLoad() -> HedgePlay::Settings {
  HedgePlay::Settings settings;
  settings.span = std::chrono::seconds(300);
  return settings;
}

/** The size of the users' plain services: a few upstreams with six slots. */
auto PlainLoad() -> HedgePlay::Settings {
  HedgePlay::Settings settings = StreamLoad();
  settings.is_stream = false;
  settings.upstreams = 6;
  settings.slots = 6;
  return settings;
}

auto Print(Load load) -> void {
  for (const double share : {0.0, 0.01, 0.02, 0.05, 0.10}) {
    load.settings.share = share;
    const HedgePlay::Result result = HedgePlay(load.settings).Run();
    std::printf("| %s | %.2f | %.0f | %.0f | %.0f | %.0f | %.2f%% | %llu |\n",
                std::string(load.name).c_str(), share, result.Quantile(0.5),
                result.Quantile(0.95), result.Quantile(0.99),
                result.Quantile(0.999),
                100.0 * static_cast<double>(result.hedges) /
                    static_cast<double>(result.requests),
                static_cast<unsigned long long>(result.sends - result.requests -
                                                result.hedges));
  }
}

}  // namespace

auto main() -> int {
  std::printf(
      "| load | share | p50 ms | p95 ms | p99 ms | p99.9 ms | hedges | other "
      "retries |\n|---|---|---|---|---|---|---|---|\n");
  for (const bool is_stream : {true, false}) {
    std::array<Load, 5> loads = {
        {{is_stream ? "stream, calm" : "plain, calm"},
         {is_stream ? "stream, one slow" : "plain, one slow"},
         {is_stream ? "stream, noise" : "plain, noise"},
         {is_stream ? "stream, one silent" : "plain, one silent"},
         {is_stream ? "stream, burst" : "plain, burst"}}};
    for (Load& load : loads) {
      load.settings = is_stream ? StreamLoad() : PlainLoad();
    }
    loads[1].settings.slow_factor = 6.0;
    loads[2].settings.has_noise = true;
    loads[3].settings.is_first_silent = true;
    loads[4].settings.burst_at = std::chrono::seconds(60);
    loads[4].settings.burst_span = std::chrono::seconds(10);
    loads[4].settings.burst_factor = is_stream ? 6.0 : 8.0;
    for (const Load& load : loads) {
      Print(load);
    }
  }
  return 0;
}

#include <iostream>
#include <nlohmann/json.hpp>

#include "al_core/text/split_list.h"
#include "al_core/text/text_file.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/settings/settings_reader.h"
#include "al_net/socket_poller.h"
#include "soak/soak_callers.h"
#include "soak/soak_check.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

constexpr int kViolation = 1;
constexpr int kBadUsage = 2;

/** For requests that are open when the callers stop: their deadline and a bit.
 */
constexpr Duration kDrainTimeout = std::chrono::seconds(12);

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Plays callers of a fleet and checks what they and upstreams saw.");
  settings.DeclareRequiredText("routers", "their addresses, comma-separated");
  settings.DeclareRequiredText("runs-file", "where upstreams note their runs");
  settings.DeclareRequiredText("events-file", "what happened to the fleet");
  settings.DeclareWhole("seed", "of the callers' choices", 1, 0, 1'000'000'000);
  settings.DeclareWhole("seconds", "how long callers come", 20, 1, 3'600);
  settings.DeclareWhole("rate", "requests a second", 40, 1, 10'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  soak::SoakCallers::Settings wanted;
  wanted.routers = SplitList(settings.Text("routers"));
  wanted.seed = static_cast<std::uint64_t>(settings.Whole("seed"));
  wanted.requests_per_second = static_cast<double>(settings.Whole("rate"));
  soak::SoakCallers callers(poller, wanted);
  callers.Start();
  const std::int64_t seconds = settings.Whole("seconds");
  loop.RunUntil([] { return false; }, std::chrono::seconds(seconds));
  callers.Stop();
  loop.RunUntil([&] { return callers.open() == 0; }, kDrainTimeout);
  soak::SoakReport report = soak::Check(
      callers.results(),
      soak::ReadExecutions(ReadTextFile(settings.Text("runs-file"))),
      soak::ReadEvents(ReadTextFile(settings.Text("events-file"))));
  report.config_reversions = callers.config_reversions();
  nlohmann::json line = report.ToJson();
  line["seed"] = wanted.seed;
  line["seconds"] = seconds;
  line["never_ended"] = callers.open();
  std::cout << line.dump() << "\n";
  return report.has_violation() ? kViolation : 0;
}

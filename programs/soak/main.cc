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

/** Wait for open requests after the callers stop: longer than the request
 * timeout, so that each request ends.
 */
constexpr Duration kDrainTimeout = std::chrono::seconds(12);

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Sends requests to a fleet and checks the records of callers and "
      "upstreams.");
  settings.DeclareRequiredText("routers", "router addresses, comma-separated");
  settings.DeclareRequiredText("runs-file",
                               "file in which upstreams record executions");
  settings.DeclareRequiredText("events-file",
                               "file with the events of the fleet");
  settings.DeclareInteger("seed", "seed of the random requests", 1, 0,
                          1'000'000'000);
  settings.DeclareInteger("seconds", "how long requests are sent, in seconds",
                          20, 1, 3'600);
  settings.DeclareInteger("deadly-percent",
                          "percentage of requests that crash upstreams", 0, 0,
                          100);
  settings.DeclareInteger("take-ups",
                          "how often a stream that was broken off is taken up "
                          "at another router, at most",
                          0, 0, 100);
  settings.DeclareInteger("pause-ms",
                          "longest pause of all callers, in milliseconds; 0: "
                          "they do not pause",
                          0, 0, 60'000);
  settings.DeclareInteger("rate", "requests per second", 40, 1, 10'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  soak::SoakCallers::Settings caller_settings;
  caller_settings.routers = SplitList(settings.Text("routers"));
  caller_settings.seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  caller_settings.requests_per_second =
      static_cast<double>(settings.Integer("rate"));
  constexpr double kPercent = 0.01;
  caller_settings.deadly_fraction =
      static_cast<double>(settings.Integer("deadly-percent")) * kPercent;
  caller_settings.take_ups = static_cast<int>(settings.Integer("take-ups"));
  caller_settings.longest_pause =
      std::chrono::milliseconds(settings.Integer("pause-ms"));
  soak::SoakCallers callers(poller, caller_settings);
  callers.Start();
  const std::int64_t seconds = settings.Integer("seconds");
  loop.RunUntil([] { return false; }, std::chrono::seconds(seconds));
  callers.Stop();
  loop.RunUntil([&] { return callers.open() == 0; }, kDrainTimeout);
  soak::SoakReport report = soak::Check(
      callers.results(),
      soak::ReadExecutions(ReadTextFile(settings.Text("runs-file"))),
      soak::ReadEvents(ReadTextFile(settings.Text("events-file"))));
  report.config_reversions = callers.config_reversions();
  nlohmann::json line = report.ToJson();
  line["seed"] = caller_settings.seed;
  line["seconds"] = seconds;
  line["never_ended"] = callers.open();
  std::cout << line.dump() << "\n";
  return report.has_violation() ? kViolation : 0;
}

#include <iostream>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/settings/settings_reader.h"
#include "gateway/gateway_daemon.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

constexpr int kMarkBytes = 8;
constexpr int kBadUsage = 2;

auto DeclareSettings(SettingsReader& settings) -> void {
  settings.DeclareRequiredText("name", "name of this router's VM");
  settings.DeclareRequiredText("domain", "failure domain of this VM");
  settings.DeclareText("region", "region of this VM", "");
  settings.DeclareAddress("client-address",
                          "where callers connect, as ip:port");
  settings.DeclareAddress("entry-address",
                          "where callers ask where to connect, as ip:port");
  settings.DeclareAddress("readiness-address",
                          "where the platform asks for readiness, as ip:port");
  settings.DeclareAddress("peer-address",
                          "where other routers ask this one, as ip:port");
  settings.DeclareText("metrics-address", "where metrics are, as ip:port", "");
  settings.DeclareAddress("log-address", "the platform's log, as ip:port");
  settings.DeclareText("retry-ratio",
                       "repeated sends of the fleet for each request", "0.2");
  settings.DeclareText("retry-slack", "repeated sends of the fleet beyond that",
                       "50");
  settings.DeclareWhole("retry-window-s", "window of these bounds, in seconds",
                        10, 1, 60);
  settings.DeclareText(
      "link-mbps", "megabits a second of this VM's link; 0: not known", "0");
  settings.DeclareText("grace-s", "seconds from SIGTERM to the end", "8");
  settings.DeclareSwitch("quiet", "log no lines of requests that go well");
}

auto NumberOf(const SettingsReader& settings,
              std::string_view name,
              Findings& findings) -> double {
  const std::string text = settings.Text(name);
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (end == text.c_str() || *end != '\0' || value < 0) {
    findings.Add("--" + std::string(name), "must be a number of 0 or more");
  }
  return value;
}

auto OptionsOf(const SettingsReader& settings, Findings& findings)
    -> gateway::GatewayDaemon::Options {
  constexpr double kMicrosPerSecond = 1e6;
  gateway::GatewayDaemon::Options options;
  const std::string mark = SecureRandomHex(kMarkBytes);
  options.self.name = settings.Text("name");
  options.self.incarnation = options.self.name + "#" + mark;
  options.self.domain = settings.Text("domain");
  options.self.region = settings.Text("region");
  options.self.link_mbps =
      static_cast<std::uint64_t>(NumberOf(settings, "link-mbps", findings));
  options.self.client_address = settings.Text("client-address");
  options.self.peer_address = settings.Text("peer-address");
  options.entry_address = settings.Text("entry-address");
  options.readiness_address = settings.Text("readiness-address");
  options.metrics_address = settings.Text("metrics-address");
  options.log_address = settings.Text("log-address");
  options.retry_bound.ratio = NumberOf(settings, "retry-ratio", findings);
  options.retry_bound.extra_retries =
      NumberOf(settings, "retry-slack", findings);
  options.retry_bound.window_seconds =
      static_cast<int>(settings.Whole("retry-window-s"));
  options.grace = Duration(static_cast<std::int64_t>(
      NumberOf(settings, "grace-s", findings) * kMicrosPerSecond));
  options.seed = StableHash(mark);
  options.quiet = settings.Switch("quiet");
  return options;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Routes callers' requests to upstreams within their teams' budgets.");
  DeclareSettings(settings);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  Findings findings;
  gateway::GatewayDaemon::Options options = OptionsOf(settings, findings);
  if (!findings.empty()) {
    std::cerr << findings.ToText();
    return kBadUsage;
  }
  EventLoop loop;
  gateway::GatewayDaemon daemon(loop, std::move(options));
  loop.HandleSignals([&daemon] { daemon.Drain(); });
  loop.HandleHangup([&daemon] { daemon.NoteHangup(); });
  if (!daemon.Start()) {
    std::cerr << "an address of this router cannot be listened on\n";
    return kBadUsage;
  }
  loop.Run();
  return 0;
}

#include <iostream>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/settings/settings_reader.h"
#include "gateway/gateway_daemon.h"
#include "platform/contract_codec.h"
#include "platform/router_address_codec.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

constexpr int kMarkBytes = 8;
constexpr int kBadUsage = 2;

auto DeclareSettings(SettingsReader& settings) -> void {
  settings.DeclareRequiredText("name", "name of this router's VM");
  settings.DeclareRequiredText("domain", "failure domain of this VM");
  settings.DeclareText("region", "region of this VM", "");
  settings.DeclareText("domain-regions",
                       "regions of failure domains, as a JSON object", "{}");
  settings.DeclareAddress("client-address",
                          "where callers connect, as ip:port");
  settings.DeclareAddress("entry-address",
                          "where callers look up router addresses, as ip:port");
  settings.DeclareAddress("readiness-address",
                          "where the platform checks readiness, as ip:port");
  settings.DeclareAddress(
      "peer-address", "where other routers send calls to this one, as ip:port");
  settings.DeclareText("metrics-address",
                       "where metrics are served, as ip:port; empty: nowhere",
                       "");
  settings.DeclareAddress("log-address",
                          "the platform's log service, as ip:port");
  settings.DeclareText("retry-ratio", "retries of the fleet per request",
                       "0.2");
  settings.DeclareText(
      "retry-slack", "retries of the fleet in a window beyond the ratio", "50");
  settings.DeclareInteger("retry-window-s",
                          "window of the retry bounds, in seconds", 10, 1, 60);
  settings.DeclareInteger("held-demand-s",
                          "seconds of its own demand of a team that a router "
                          "holds tokens for, at most",
                          1, 1, 60);
  settings.DeclareText("hedge-share",
                       "second attempts of late requests per request that may "
                       "have one, 0 to 1; 0: none",
                       "0");
  settings.DeclareText(
      "link-mbps", "bandwidth of this VM's link in Mbit/s; 0: unknown", "0");
  settings.DeclareText("admission",
                       "admission control of requests: off or pressure", "off");
  settings.DeclareText("contracts",
                       "the deployment's contracts, separated by commas; some "
                       "turn settings on",
                       "");
  settings.DeclareText("memory-mb",
                       "memory of this VM in MiB; 0: 160, as most have", "0");
  settings.DeclareText("max-descriptors",
                       "file descriptors of this VM; 0: the process's limit",
                       "0");
  settings.DeclareText("grace-s", "seconds from SIGTERM to the exit", "8");
  settings.DeclareSwitch("quiet", "do not log requests that succeed");
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

/** Returns whether admission control is on, by either setting. */
auto AdmissionOf(const SettingsReader& settings, Findings& findings) -> bool {
  const std::string mode = settings.Text("admission");
  if (mode != "off" && mode != "pressure") {
    findings.Add("--admission", "must be off or pressure");
  }
  return mode == "pressure" ||
         platform::RequiresAdmission(settings.Text("contracts"));
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
  auto regions = platform::ReadDomainRegions(settings.Text("domain-regions"));
  if (!regions) {
    findings.Add("--domain-regions",
                 "must be a JSON object of domain to region");
  }
  options.domain_regions =
      std::move(regions).value_or(std::map<std::string, std::string>());
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
      static_cast<int>(settings.Integer("retry-window-s"));
  options.allowances.held_demand =
      std::chrono::seconds(settings.Integer("held-demand-s"));
  options.hedge_share = NumberOf(settings, "hedge-share", findings);
  if (options.hedge_share > 1.0) {
    findings.Add("--hedge-share", "must be a number from 0 to 1");
  }
  options.grace_period = Duration(static_cast<std::int64_t>(
      NumberOf(settings, "grace-s", findings) * kMicrosPerSecond));
  options.admission = AdmissionOf(settings, findings);
  options.seed = StableHash(mark);
  options.quiet = settings.Switch("quiet");
  options.memory_mb =
      static_cast<std::size_t>(NumberOf(settings, "memory-mb", findings));
  options.max_descriptors =
      static_cast<std::size_t>(NumberOf(settings, "max-descriptors", findings));
  return options;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Routes requests to upstreams and enforces the budgets of teams.");
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
  loop.InstallSignalHandlers([&daemon] { daemon.Drain(); });
  loop.InstallHangupHandler([&daemon] { daemon.LogHangup(); });
  if (!daemon.Start()) {
    std::cerr << "cannot listen on an address of this router; the log line "
                 "listen_failed names it\n";
    return kBadUsage;
  }
  loop.Run();
  return 0;
}

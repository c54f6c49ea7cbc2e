#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>

#include <iostream>

#include "al_core/text/digest.h"
#include "al_edge/settings/settings_reader.h"
#include "router/router_daemon.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

/** Random bytes in an incarnation, so that two starts in the same millisecond
    differ. */
constexpr int kSuffixBytes = 4;

auto DeclareSettings(SettingsReader& settings) -> void {
  settings.DeclareRequiredText("name", "name of this router's VM");
  settings.DeclareRequiredText("domain", "failure domain of this VM");
  settings.DeclareAddress("http-address",
                          "address for HTTP requests, as ip:port");
  settings.DeclareAddress("peer-address",
                          "address for messages of other routers, as ip:port");
  settings.DeclareAddress(
      "platform-address",
      "address of the log service and the VM list, as ip:port");
  settings.DeclareText(
      "admin-key", "bearer key for POST /admin/drain; empty: refuse it", "");
  settings.DeclareInteger("max-body-bytes", "maximum size of a request body",
                          1'048'576, 1024, 1'073'741'824);
  settings.DeclareText("log-level",
                       "lowest level that is logged: DEBUG, INFO, WARN or "
                       "ERROR",
                       "INFO");
  settings.DeclareSwitch("no-upstream-polls",
                         "do not poll upstreams for load and cache changes");
}

auto OptionsOf(const SettingsReader& settings, Instant now)
    -> RouterDaemon::Options {
  RouterDaemon::Options options;
  const std::string suffix = SecureRandomHex(kSuffixBytes);
  options.router.name = RouterId(settings.Text("name"));
  options.router.incarnation =
      MakeIncarnation(options.router.name, ToUnixMillis(now), suffix);
  options.router.seed = StableHash(suffix);
  options.router.vm.name = settings.Text("name");
  options.router.vm.role = "router";
  options.router.vm.domain = DomainId(settings.Text("domain"));
  options.router.vm.http_address = settings.Text("http-address");
  options.router.vm.peer_address = PeerAddress(settings.Text("peer-address"));
  options.platform_address = settings.Text("platform-address");
  options.admin_key = settings.Text("admin-key");
  options.max_body_bytes =
      static_cast<std::size_t>(settings.Integer("max-body-bytes"));
  options.poll_upstreams = !settings.Switch("no-upstream-polls");
  return options;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Routes requests to upstreams and enforces the prepaid token budgets of "
      "teams.");
  DeclareSettings(settings);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  const log4cplus::Initializer log_initializer;
  log4cplus::BasicConfigurator::doConfigure();
  log4cplus::Logger::getRoot().setLogLevel(
      log4cplus::getLogLevelManager().fromString(settings.Text("log-level")));
  EventLoop loop;
  RouterDaemon daemon(loop, OptionsOf(settings, loop.Now()));
  loop.InstallSignalHandlers([&daemon] { daemon.Drain(); });
  if (!daemon.Start()) {
    std::cerr
        << "--http-address or --peer-address: the address cannot be bound\n";
    return 2;
  }
  loop.Run();
  return 0;
}

#include <iostream>

#include "al_edge/loop/event_loop.h"
#include "al_edge/settings/settings_reader.h"
#include "al_net/socket_poller.h"
#include "proxy/loopback_proxy.h"

auto main(int argc, char** argv) -> int {
  using namespace auburnloft;  // NOLINT(google-build-using-namespace)
  constexpr int kBadUsage = 2;
  SettingsReader settings(
      "A TCP proxy that injects faults into a loopback link.");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  settings.DeclareAddress("target", "address to forward to, as ip:port");
  settings.DeclareAddress("control-address",
                          "address of the fault control, as ip:port");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  standins::LoopbackProxy proxy(
      poller, {settings.Text("address"), settings.Text("target"),
               settings.Text("control-address")});
  if (!proxy.Listen()) {
    std::cerr << "cannot listen on --address or --control-address\n";
    return kBadUsage;
  }
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

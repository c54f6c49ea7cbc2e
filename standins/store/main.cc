#include <iostream>

#include "al_edge/loop/event_loop.h"
#include "al_edge/settings/settings_reader.h"
#include "al_net/socket_poller.h"
#include "store/store_server.h"

auto main(int argc, char** argv) -> int {
  using namespace auburnloft;  // NOLINT(google-build-using-namespace)
  constexpr int kBadUsage = 2;
  SettingsReader settings(
      "A stand-in for the platform's store, its log service.");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  standins::StoreServer server(poller);
  if (!server.Listen(settings.Text("address"))) {
    std::cerr << "--address: cannot listen on this address\n";
    return kBadUsage;
  }
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

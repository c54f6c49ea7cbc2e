#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "service/service_server.h"

auto main(int argc, char** argv) -> int {
  using auburnloft::standins::ServiceServer;
  auburnloft::SettingsReader settings(
      "A stand-in for a plain service whose calls must not execute twice.");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  settings.DeclareInteger("work-ms", "duration of a call in milliseconds", 2, 0,
                          600'000);
  settings.DeclareInteger("seed", "random seed of the injected faults", 1, 0,
                          1'000'000'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  auburnloft::EventLoop loop;
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  ServiceServer server(loop, settings.Text("address"),
                       std::chrono::milliseconds(settings.Integer("work-ms")),
                       static_cast<std::uint64_t>(settings.Integer("seed")));
  if (!server.Listen()) {
    std::cerr << "--address: " << settings.Text("address")
              << ": cannot listen on this address\n";
    return 2;
  }
  loop.Run();
  return 0;
}

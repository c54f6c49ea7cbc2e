#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "platform/platform_server.h"

auto main(int argc, char** argv) -> int {
  using auburnloft::standins::PlatformServer;
  auburnloft::SettingsReader settings(
      "A stand-in for the platform: log service, VM list and weight store.");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  settings.DeclareInteger("append-rate",
                          "maximum appends per second over all streams", 400, 1,
                          1'000'000);
  settings.DeclareInteger("retain-records",
                          "maximum number of records kept per stream", 100'000,
                          10, 10'000'000);
  settings.DeclareInteger("retain-seconds",
                          "seconds for which records are kept", 86'400, 1,
                          10'000'000);
  settings.DeclareInteger("vm-lag-ms",
                          "delay of changes to the VM list in milliseconds",
                          1000, 0, 600'000);
  settings.DeclareInteger("weight-rate",
                          "maximum bytes per second of the weight store",
                          1'000'000'000, 1, 1'000'000'000'000);
  settings.DeclareInteger("seed", "random seed of the injected faults", 1, 0,
                          1'000'000'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  PlatformServer::Options options;
  options.address = settings.Text("address");
  options.appends_per_second =
      static_cast<double>(settings.Integer("append-rate"));
  options.retention.records =
      static_cast<std::size_t>(settings.Integer("retain-records"));
  options.retention.age =
      std::chrono::seconds(settings.Integer("retain-seconds"));
  options.vm_lag = std::chrono::milliseconds(settings.Integer("vm-lag-ms"));
  options.weight_bytes_per_second =
      static_cast<double>(settings.Integer("weight-rate"));
  options.seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  auburnloft::EventLoop loop;
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  PlatformServer server(loop, std::move(options));
  if (!server.Listen()) {
    std::cerr << "--address: " << settings.Text("address")
              << ": cannot listen on this address\n";
    return 2;
  }
  loop.Run();
  return 0;
}

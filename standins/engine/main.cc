#include <iostream>

#include "al_edge/settings/settings_reader.h"
#include "engine/engine_server.h"

auto main(int argc, char** argv) -> int {
  using auburnloft::standins::EngineServer;
  auburnloft::SettingsReader settings(
      "A stand-in for a model engine with an OpenAI-style interface.");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  settings.DeclareInteger("slots", "maximum number of concurrent generations",
                          8, 1, 10'000);
  settings.DeclareInteger("piece-us",
                          "microseconds between two pieces of a response", 5000,
                          0, 10'000'000);
  settings.DeclareInteger("prefill-us",
                          "microseconds of prefill per uncached token", 50, 0,
                          1'000'000);
  settings.DeclareInteger("cache-blocks",
                          "capacity of the prefix cache in blocks", 512, 1,
                          1'000'000);
  settings.DeclareInteger(
      "load-lag-ms", "age of the load report in milliseconds", 300, 0, 60'000);
  settings.DeclareSwitch("check-fencing",
                         "refuse orders with an outdated fencing number");
  settings.DeclareInteger("seed", "random seed; currently unused", 1, 0,
                          1'000'000'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  EngineServer::Options options;
  options.address = settings.Text("address");
  options.slots = static_cast<std::size_t>(settings.Integer("slots"));
  options.piece_interval =
      std::chrono::microseconds(settings.Integer("piece-us"));
  options.prefill_per_token =
      std::chrono::microseconds(settings.Integer("prefill-us"));
  options.cache_blocks =
      static_cast<std::size_t>(settings.Integer("cache-blocks"));
  options.load_lag = std::chrono::milliseconds(settings.Integer("load-lag-ms"));
  options.checks_fencing = settings.Switch("check-fencing");
  options.seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  auburnloft::EventLoop loop;
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  EngineServer server(loop, std::move(options));
  if (!server.Listen()) {
    std::cerr << "--address: " << settings.Text("address")
              << ": cannot listen on this address\n";
    return 2;
  }
  loop.Run();
  return 0;
}

#include <fstream>
#include <iostream>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_edge/settings/settings_reader.h"
#include "al_http1/http1_client.h"
#include "al_net/socket_poller.h"
#include "platform/wire_names.h"
#include "wire/wire_upstream.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

constexpr int kBadUsage = 2;

/** Pause between two announcements at the store. */
constexpr Duration kHeartbeat = std::chrono::milliseconds(1'000);

auto Announcement(const std::string& id, std::string entry) -> Http1Request {
  Http1Request call;
  call.method = "PUT";
  call.target =
      "/record?Topic=" + std::string(platform::kUpstreamTopic) + "&Key=" + id;
  call.fields.Add("Host", "store");
  call.body = std::move(entry);
  return call;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings("Stands in for a server of the users' platform.");
  settings.DeclareRequiredText("id", "its id");
  settings.DeclareAddress("address", "where to listen, as ip:port");
  settings.DeclareRequiredText("service", "the service that it belongs to");
  settings.DeclareText("domain", "its failure domain", "a");
  settings.DeclareAddress("store-address", "the store, as ip:port");
  settings.DeclareText("told-address", "what its entry says, as behind a proxy",
                       "");
  settings.DeclareText("runs-file", "where each run is noted as it begins", "");
  settings.DeclareInteger("events", "events of a stream", 8, 1, 10'000);
  settings.DeclareInteger("between-us", "microseconds between events", 10'000,
                          0, 10'000'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  standins::WireUpstream::Settings wanted;
  wanted.id = settings.Text("id");
  wanted.address = settings.Text("address");
  wanted.told_address = settings.Text("told-address");
  wanted.born_ms = ToUnixMillis(loop.Now());
  wanted.between = Duration(settings.Integer("between-us"));
  wanted.first_byte = wanted.between;
  wanted.events = static_cast<std::uint64_t>(settings.Integer("events"));
  standins::WireUpstream upstream(poller, wanted);
  if (!upstream.Listen()) {
    std::cerr << "--address: cannot be listened on\n";
    return kBadUsage;
  }
  std::ofstream runs(settings.Text("runs-file"), std::ios::app);
  upstream.SetOnRun([&](const std::string& id) {
    runs << ToUnixMillis(loop.Now()) << ' ' << wanted.id << ' ' << id
         << std::endl;
  });
  Http1Client store(poller, settings.Text("store-address"));
  const auto announce = [&] {
    if (!store.is_busy()) {
      store.Call(
          Announcement(wanted.id, upstream.Entry(settings.Text("service"),
                                                 settings.Text("domain"),
                                                 upstream.leaving())),
          kHeartbeat, [](const auto& /*reply*/) {});
    }
  };
  announce();
  loop.RunEvery(kHeartbeat, announce);
  loop.HandleSignals([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

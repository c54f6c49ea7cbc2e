#include <fstream>
#include <iostream>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_edge/settings/settings_reader.h"
#include "al_http1/http1_caller.h"
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
  settings.DeclareWhole("events", "events of a stream", 8, 1, 10'000);
  settings.DeclareWhole("between-us", "microseconds between events", 10'000, 0,
                        10'000'000);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  standins::WireUpstream::Settings wanted;
  wanted.id = settings.Text("id");
  wanted.address = settings.Text("address");
  wanted.announced_address = settings.Text("told-address");
  wanted.start_unix_ms = ToUnixMillis(loop.Now());
  wanted.event_interval = Duration(settings.Whole("between-us"));
  wanted.first_event_delay = wanted.event_interval;
  wanted.events = static_cast<std::uint64_t>(settings.Whole("events"));
  standins::WireUpstream upstream(poller, wanted);
  if (!upstream.Listen()) {
    std::cerr << "--address: cannot be listened on\n";
    return kBadUsage;
  }
  std::ofstream executions(settings.Text("runs-file"), std::ios::app);
  upstream.SetOnExecution([&](const std::string& id) {
    executions << ToUnixMillis(loop.Now()) << ' ' << wanted.id << ' ' << id
               << std::endl;
  });
  Http1Caller store(poller, settings.Text("store-address"));
  const auto announce = [&] {
    if (!store.busy()) {
      store.Call(
          Announcement(wanted.id, upstream.Entry(settings.Text("service"),
                                                 settings.Text("domain"),
                                                 upstream.leaving())),
          kHeartbeat, [](const auto& /*reply*/) {});
    }
  };
  announce();
  loop.Every(kHeartbeat, announce);
  loop.HandleSignals([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

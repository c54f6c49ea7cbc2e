#include <cstdlib>
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
constexpr int kCrashed = 3;

/** Time from the begin of a deadly request to the end of the process. */
constexpr Duration kTimeToCrash = std::chrono::milliseconds(30);

/** Interval between two announcements to the store. */
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

auto DeclareSettings(SettingsReader& settings) -> void {
  settings.DeclareRequiredText("id", "id of this upstream");
  settings.DeclareAddress("address", "address to listen on, as ip:port");
  settings.DeclareRequiredText("service",
                               "service to which this upstream belongs");
  settings.DeclareText("domain", "failure domain of this upstream", "a");
  settings.DeclareAddress("store-address", "address of the store, as ip:port");
  settings.DeclareText("told-address",
                       "address to announce if it differs, such as a proxy's",
                       "");
  settings.DeclareText("release",
                       "version of this upstream's software, also written into "
                       "its events; empty: v1, in its record only",
                       "");
  settings.DeclareText(
      "runs-file", "file that receives a line when an execution starts", "");
  settings.DeclareText("dies-on",
                       "text in the path of requests under which this process "
                       "ends, as in a crash; empty: none",
                       "");
  settings.DeclareInteger("events", "number of events in a stream", 8, 1,
                          10'000);
  settings.DeclareInteger("between-us", "microseconds between two events",
                          10'000, 0, 10'000'000);
  settings.DeclareInteger(
      "event-padding", "bytes added to the data of each event", 0, 0, 65'536);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings("A stand-in for an upstream of the users' platform.");
  DeclareSettings(settings);
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  EventLoop loop;
  SocketPoller poller(loop);
  standins::WireUpstream::Settings upstream_settings;
  upstream_settings.id = settings.Text("id");
  upstream_settings.address = settings.Text("address");
  upstream_settings.announced_address = settings.Text("told-address");
  if (const std::string release = settings.Text("release"); !release.empty()) {
    upstream_settings.version = release;
    upstream_settings.marks_events = true;
  }
  upstream_settings.start_unix_ms = ToUnixMillis(loop.Now());
  upstream_settings.event_interval = Duration(settings.Integer("between-us"));
  upstream_settings.first_event_delay = upstream_settings.event_interval;
  upstream_settings.events =
      static_cast<std::uint64_t>(settings.Integer("events"));
  upstream_settings.event_padding =
      static_cast<std::size_t>(settings.Integer("event-padding"));
  standins::WireUpstream upstream(poller, upstream_settings);
  if (!upstream.Listen()) {
    std::cerr << "--address: cannot listen on this address\n";
    return kBadUsage;
  }
  LoopTimer crash_timer(loop, [] { std::_Exit(kCrashed); });
  std::ofstream executions(settings.Text("runs-file"), std::ios::app);
  upstream.SetOnExecution([&](const std::string& id) {
    executions << ToUnixMillis(loop.Now()) << ' ' << upstream_settings.id << ' '
               << id << std::endl;
    const std::string& deadly = settings.Text("dies-on");
    if (!deadly.empty() &&
        upstream.last_request().target.find(deadly) != std::string::npos) {
      upstream.SetFault(standins::WireUpstream::Fault::kSilent);
      crash_timer.Start(kTimeToCrash);
    }
  });
  Http1Client store(poller, settings.Text("store-address"));
  const auto announce = [&] {
    if (!store.is_busy()) {
      store.Call(Announcement(upstream_settings.id,
                              upstream.Entry(settings.Text("service"),
                                             settings.Text("domain"),
                                             upstream.leaving())),
                 kHeartbeat, [](const auto& /*reply*/) {});
    }
  };
  announce();
  loop.ScheduleEvery(kHeartbeat, announce);
  loop.InstallSignalHandlers([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

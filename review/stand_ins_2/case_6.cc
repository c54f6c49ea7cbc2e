// Case 6: a server starts again under its id with a newer software version
// while the store is away. See review/6/claim.txt.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace review;  // NOLINT(google-build-using-namespace)

constexpr int kRouters = 4;
constexpr int kServersPerVersion = 4;
constexpr Millis kBetweenStreams{60};
constexpr std::int64_t kDeadlineMs = 15000;
constexpr int kMostMixed = 2;

constexpr std::string_view kConfig = R"({"Version": 7, "Routes": [
 {"Name": "fitter-answer", "Host": "demo", "PathPrefix": "/answers/",
  "Type": "streaming", "Service": "klokke-lm", "TimeoutMs": 15000,
  "SloMs": 400, "Priority": 0, "MaxAttempts": 2, "Sticky": true,
  "Resumable": true, "GapTargetMs": 400}],
 "Services": [{"Name": "klokke-lm", "HealthPath": "/healthz", "MaxConns": 360,
  "Engine": {"BatchSlots": 64, "KvCapacity": 651753, "Stride": 5}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "t", "ApiKeys": ["key-1"], "Prepaid": 90000000}]})";

struct Counts {
  std::atomic<int> begun = 0;
  std::atomic<int> complete = 0;
  std::atomic<int> mixed = 0;
};

/** Asks for one stream, and takes it up once if its connection breaks. */
auto RunCaller(Record& record, const Fleet& fleet, Counts& counts, int number)
    -> void {
  thread_local std::mt19937 random{std::random_device{}()};
  const std::string id = "s" + std::to_string(number);
  const std::int64_t began_at = record.now();
  std::set<std::string> versions;
  StreamRequest request{0, "/answers/x", id, "", 0, kDeadlineMs};
  for (int attempt = 0; attempt < 2; ++attempt) {
    const std::vector<int> ports = fleet.Resolve();
    if (ports.empty()) {
      return;
    }
    request.port = ports[random() % ports.size()];
    const StreamAttempt answer =
        ReadStream(request, [](std::int64_t /*event*/) { return true; });
    versions.insert(answer.versions.begin(), answer.versions.end());
    std::string seen;
    for (std::size_t i = 0; i < answer.versions.size(); ++i) {
      if (i == 0 || answer.versions[i] != answer.versions[i - 1]) {
        seen += " " + answer.versions[i] + " from event " +
                std::to_string(answer.last_event - answer.events + 1 +
                               static_cast<std::int64_t>(i));
      }
    }
    record.Write("answer " + request.id + " status " +
                 std::to_string(answer.status) + " events " +
                 std::to_string(answer.events) + " last " +
                 std::to_string(answer.last_event) + seen +
                 (answer.is_complete ? " complete" : " broken"));
    counts.begun += attempt == 0 && answer.events > 0 ? 1 : 0;
    counts.complete += answer.is_complete ? 1 : 0;
    if (answer.is_complete || answer.events == 0) {
      break;
    }
    request.id = id + "b";
    request.resumes = id;
    request.last_event = answer.last_event;
    request.deadline_ms = kDeadlineMs - (record.now() - began_at);
  }
  counts.mixed += versions.size() > 1 ? 1 : 0;
}

/** The store is silent for less than 5 s. Meanwhile one server of v1 crashes
   and starts again with v2; later, two other servers of v1 crash. */
auto MakeTrouble(Record& record,
                 const Fleet& fleet,
                 const std::vector<std::unique_ptr<Server>>& servers) -> void {
  record.Write("the store is silent");
  Call(fleet.store_port(), "POST", "/faults", "silent");
  Sleep(Millis(100));
  record.Write("lm-0 crashes");
  servers[0]->Crash();
  Sleep(Millis(500));
  record.Write("lm-0 runs again, v2");
  servers[0]->StartAgain("v2");
  Sleep(Millis(2400));
  record.Write("lm-2 and lm-4 crash");
  servers[2]->Crash();
  servers[4]->Crash();
  Sleep(Millis(500));
  record.Write("the store answers");
  Call(fleet.store_port(), "POST", "/faults", "none");
  Sleep(Millis(1000));
  record.Write("lm-2 and lm-4 run again, v1");
  servers[2]->StartAgain("v1");
  servers[4]->StartAgain("v1");
}

auto Play(Record& record, Fleet& fleet, bool has_trouble) -> int {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 2 * kServersPerVersion; ++i) {
    Server::Settings settings;
    settings.id = "lm-" + std::to_string(i);
    settings.service = "klokke-lm";
    settings.zone = std::string(1, static_cast<char>('a' + i % 3));
    settings.version = i % 2 == 0 ? "v1" : "v2";
    settings.interval = Millis(80);
    servers.push_back(std::make_unique<Server>(record, fleet, settings));
  }
  if (!fleet.StartRouters(kRouters) || !fleet.WaitUntilReady(Millis(10000))) {
    record.Say("the routers did not become ready");
    return 2;
  }
  Sleep(Millis(2000));
  Counts counts;
  std::atomic<bool> stops = false;
  std::vector<std::thread> callers;
  std::thread traffic([&] {
    for (int i = 0; !stops; ++i) {
      callers.emplace_back([&, i] { RunCaller(record, fleet, counts, i); });
      Sleep(kBetweenStreams);
    }
  });
  Sleep(Millis(8000));
  if (has_trouble) {
    MakeTrouble(record, fleet, servers);
  } else {
    Sleep(Millis(9500));
  }
  Sleep(Millis(6000));
  stops = true;
  traffic.join();
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Say("streams begun " + std::to_string(counts.begun) + ", complete " +
             std::to_string(counts.complete) +
             ", with events of two versions " + std::to_string(counts.mixed));
  if (counts.begun < 20) {
    record.Say("could not run: too few streams began");
    return 2;
  }
  const bool is_broken = counts.mixed > kMostMixed;
  record.Say(is_broken ? "ORDER is broken" : "ORDER holds");
  return is_broken ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-6 RECORD FOLDER TROUBLE\n";
    return 2;
  }
  Record record(arguments[1]);
  Fleet fleet(record, arguments[2]);
  if (!fleet.StartStore() ||
      !fleet.Put("keyed.op", "config", std::string(kConfig))) {
    record.Say("the store did not start");
    return 2;
  }
  return Play(record, fleet, std::string(arguments[3]) != "0");
}

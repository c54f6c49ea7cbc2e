// Case 10: an entry of another writer, with a field missing, under the id of
// a server that drains. See review/10/claim.txt.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace review;  // NOLINT(google-build-using-namespace)

constexpr int kRouters = 3;
constexpr int kServers = 3;
constexpr Millis kBetweenRequests{38};  ///< 26 a second, as on the sheet.
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kDrainMs = 2000;
constexpr Millis kOddEntryAfter{3000};
constexpr Millis kEndAfter{700};
constexpr int kBooking = 4;  ///< Three in four requests must run once.

constexpr std::string_view kConfig = R"({"Version": 7, "Routes": [
 {"Name": "visit-booking", "Host": "demo", "PathPrefix": "/visits/",
  "Type": "unsafe", "Service": "klokke-app", "TimeoutMs": 1500,
  "SloMs": 150, "Priority": 2, "MaxAttempts": 1},
 {"Name": "status-read", "Host": "demo", "PathPrefix": "/status/",
  "Type": "safe", "Service": "klokke-app", "TimeoutMs": 1500,
  "SloMs": 150, "Priority": 2, "MaxAttempts": 2}],
 "Services": [{"Name": "klokke-app", "HealthPath": "/healthz",
  "MaxConns": 96}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "t", "ApiKeys": ["key-1"]}]})";

struct Counts {
  std::atomic<int> asked = 0;
  std::atomic<int> served = 0;
  std::atomic<int> promised = 0;  ///< 503: not run.
  std::atomic<int> lost = 0;      ///< 502, 504 or a closed connection.
};

/** Sends one request on a new connection. */
auto RunCaller(Record& record, const Fleet& fleet, Counts& counts, int number)
    -> void {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  thread_local std::mt19937 random{std::random_device{}()};
  const std::vector<int> ports = fleet.Resolve();
  if (ports.empty()) {
    return;
  }
  const std::string id = "b" + std::to_string(number);
  const auto connection = Connection::Connect(ports[random() % ports.size()]);
  if (!connection) {
    return;
  }
  ++counts.asked;
  connection->SetTimeout(Millis(kDeadlineMs));
  connection->Send(
      (number % kBooking != 0 ? "POST /visits/x" : "GET /status/x") +
      std::string(" HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: ") + id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
      "\r\nAuthorization: Token key-1\r\nContent-Length: " +
      (number % kBooking != 0 ? "4\r\n\r\nbook" : "0\r\n\r\n"));
  const auto head = connection->ReadHead();
  const int status = head ? head->status() : 0;
  counts.served += status == kOk ? 1 : 0;
  counts.promised += status == kUnavailable ? 1 : 0;
  counts.lost += status != kOk && status != kUnavailable ? 1 : 0;
  record.Write("answer " + id + " status " + std::to_string(status));
}

/** Lets a server drain and end; in between, another writer's entry comes under
    its id. @return when the store had accepted that it drains. */
auto LetServerLeave(Record& record,
                    const Fleet& fleet,
                    Server& leaving,
                    bool has_trouble) -> std::int64_t {
  leaving.Drain();
  const std::int64_t drains_at = record.now();
  record.Write("the store has accepted that app-0 drains");
  Sleep(kOddEntryAfter);
  if (has_trouble) {
    fleet.Put("keyed.servers", "app-0",
              R"({"Service":"klokke-app","Address":"127.0.0.1:)" +
                  std::to_string(leaving.port()) +
                  R"(","Zone":"a","Version":"v1","BatchSlots":6,)"
                  R"("State":"ready","WarmupLeftMs":0,"Sequence":9})");
    record.Write("another writer's entry, without born, has been accepted");
  }
  Sleep(kEndAfter);
  // It may end at any moment now; takes one at which it is at work, if any.
  for (int i = 0; i < 300 && leaving.working() == 0; ++i) {
    Sleep(Millis(1));
  }
  record.Write("app-0 ends, at work on " + std::to_string(leaving.working()));
  leaving.Crash();
  fleet.Put("keyed.servers", "app-0", "");
  return drains_at;
}

auto Play(Record& record, Fleet& fleet, bool has_trouble) -> int {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Settings settings;
    settings.id = "app-" + std::to_string(i);
    settings.service = "klokke-app";
    settings.zone = std::string(1, static_cast<char>('a' + i % 3));
    settings.slots = 6;
    settings.work = Millis(30);
    servers.push_back(std::make_unique<Server>(record, fleet, settings));
  }
  if (!fleet.StartRouters(kRouters) || !fleet.WaitUntilReady(Millis(10000))) {
    record.Say("the routers did not become ready");
    return 2;
  }
  Sleep(Millis(5000));
  Counts counts;
  std::atomic<bool> stops = false;
  std::vector<std::thread> callers;
  std::thread traffic([&] {
    for (int i = 0; !stops; ++i) {
      callers.emplace_back([&, i] { RunCaller(record, fleet, counts, i); });
      Sleep(kBetweenRequests);
    }
  });
  Sleep(Millis(4000));
  Server& leaving = *servers.front();
  const std::int64_t drains_at =
      LetServerLeave(record, fleet, leaving, has_trouble);
  Sleep(Millis(3000));
  stops = true;
  traffic.join();
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::vector<std::int64_t> times = leaving.RequestTimes();
  const auto late = std::ranges::count_if(
      times, [&](std::int64_t at) { return at > drains_at + kDrainMs; });
  record.Say("requests " + std::to_string(counts.asked) + ", served " +
             std::to_string(counts.served) + ", refused " +
             std::to_string(counts.promised) + ", lost " +
             std::to_string(counts.lost) + "; at app-0 " +
             std::to_string(times.size()) + ", later than DrainMs " +
             std::to_string(late));
  if (counts.served < counts.asked / 2 || times.empty()) {
    record.Say("could not run: too few requests were served");
    return 2;
  }
  record.Say(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  return late > 0 ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-10 RECORD FOLDER TROUBLE\n";
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

// Case 7: a planned stop while callers on slow links read their answers. See
// review/7/claim.txt.

#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace review;  // NOLINT(google-build-using-namespace)

constexpr int kRouters = 2;
constexpr int kServers = 3;
constexpr int kCallers = 12;
constexpr std::size_t kBodyBytes = 750'000;
/** What a caller reads in each step: 2 Mbit/s. */
constexpr std::size_t kStepBytes = 12'500;
constexpr Millis kStep{50};
constexpr Millis kWork{1000};
constexpr Millis kStopAfter{500};
constexpr std::int64_t kDeadlineMs = 15000;
constexpr int kSegmentBytes = 1460;
constexpr int kReceiveBytes = 32768;

constexpr std::string_view kConfig = R"({"Version": 7, "Routes": [
 {"Name": "status-read", "Host": "demo", "PathPrefix": "/status/",
  "Type": "safe", "Service": "klokke-app", "TimeoutMs": 15000,
  "SloMs": 150, "Priority": 2, "MaxAttempts": 2}],
 "Services": [{"Name": "klokke-app", "HealthPath": "/healthz",
  "MaxConns": 96}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "t", "ApiKeys": ["key-1"]}]})";

/** Sends a request and reads the answer over a slow link.
    @return whether the answer was complete. */
auto ReadSlowly(Record& record, int port, const std::string& id) -> bool {
  const std::int64_t began_at = record.now();
  const auto connection =
      Connection::ConnectOverLink(port, kSegmentBytes, kReceiveBytes);
  if (!connection) {
    record.Write("no connection " + id);
    return false;
  }
  connection->SetTimeout(Millis(kDeadlineMs));
  connection->Send("GET /status/" + id +
                   " HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: " + id +
                   "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                   "\r\nAuthorization: Token key-1\r\n\r\n");
  record.Write("ask " + id);
  const auto head = connection->ReadHead();
  if (!head) {
    record.Write("answer " + id + " none");
    return false;
  }
  const auto length = static_cast<std::size_t>(head->Number("content-length"));
  std::size_t got = 0;
  bool is_open = true;
  while (got < length && is_open) {
    const std::size_t until = std::min(length, got + kStepBytes);
    while (got < until && is_open) {
      const ssize_t count = connection->ReadSome(until - got);
      is_open = count > 0;
      got += is_open ? static_cast<std::size_t>(count) : 0;
    }
    Sleep(kStep);
  }
  const std::int64_t took = record.now() - began_at;
  record.Write("answer " + id + " status " + std::to_string(head->status()) +
               " connection " + head->Field("connection") + " length " +
               std::to_string(length) + " got " + std::to_string(got) +
               " after " + std::to_string(took) + " ms");
  return head->status() == 200 && got == length && took < kDeadlineMs;
}

auto Play(Record& record, Fleet& fleet, bool has_trouble) -> int {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Settings settings;
    settings.id = "app-" + std::to_string(i);
    settings.service = "klokke-app";
    settings.zone = std::string(1, static_cast<char>('a' + i % 3));
    settings.slots = 6;
    settings.work = kWork;
    settings.body_bytes = kBodyBytes;
    servers.push_back(std::make_unique<Server>(record, fleet, settings));
  }
  if (!fleet.StartRouters(kRouters) || !fleet.WaitUntilReady(Millis(10000))) {
    record.Say("the routers did not become ready");
    return 2;
  }
  Sleep(Millis(4000));
  Fleet::Router& router = *fleet.routers().front();
  std::atomic<int> complete = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      complete +=
          ReadSlowly(record, router.client_port, "r" + std::to_string(i)) ? 1
                                                                          : 0;
    });
  }
  Sleep(kStopAfter);
  if (has_trouble) {
    fleet.Signal(router, SIGTERM);
    const bool ended = router.process.WaitForEnd(Millis(8000));
    record.Write(ended ? "end of the router" : "the router runs after GraceS");
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Say("requests " + std::to_string(kCallers) + ", complete answers " +
             std::to_string(complete));
  const bool is_broken = complete < kCallers;
  record.Say(is_broken ? "LOST is broken" : "LOST holds");
  return is_broken ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-7 RECORD FOLDER TROUBLE\n";
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

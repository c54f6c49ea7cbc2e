// Case 9: a crowd of callers that drip their bodies, while others read their
// answers. See review/9/claim.txt.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace review;  // NOLINT(google-build-using-namespace)

constexpr int kRouters = 2;
constexpr int kServers = 3;
constexpr int kCallers = 30;
constexpr int kCrowd = 1300;
constexpr std::size_t kBodyBytes = 300'000;
constexpr std::size_t kStepBytes = 6250;  ///< 1 Mbit/s.
constexpr Millis kStep{50};
constexpr std::int64_t kDeadlineMs = 15000;
constexpr int kSegmentBytes = 1460;
constexpr int kReceiveBytes = 32768;
constexpr int kMostLost = 3;
constexpr int kOk = 200;

constexpr std::string_view kConfig = R"({"Version": 7, "Routes": [
 {"Name": "status-read", "Host": "demo", "PathPrefix": "/status/",
  "Type": "safe", "Service": "klokke-app", "TimeoutMs": 15000,
  "SloMs": 1500, "Priority": 2, "MaxAttempts": 2}],
 "Services": [{"Name": "klokke-app", "HealthPath": "/healthz",
  "MaxConns": 96}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "t", "ApiKeys": ["key-1"]}]})";

enum class End { kComplete, kRefused, kCut };

/** Sends a request on a connection. @return the head of the answer. */
auto Ask(Connection& connection, const std::string& id) -> std::optional<Head> {
  connection.Send("GET /status/" + id +
                  " HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: " + id +
                  "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                  "\r\nAuthorization: Token key-1\r\n\r\n");
  return connection.ReadHead();
}

/** Reads an answer over a link of 1 Mbit/s. @return the bytes that came. */
auto ReadSlowly(Connection& connection, std::size_t length) -> std::size_t {
  std::size_t got = 0;
  bool is_open = true;
  while (got < length && is_open) {
    const std::size_t until = std::min(length, got + kStepBytes);
    while (got < until && is_open) {
      const ssize_t count = connection.ReadSome(until - got);
      is_open = count > 0;
      got += is_open ? static_cast<std::size_t>(count) : 0;
    }
    Sleep(kStep);
  }
  return got;
}

/** Sends two requests on one connection; the first answer is read at once, the
    second one slowly. @return how the second one ended. */
auto RunCaller(Record& record, int port, const std::string& id) -> End {
  const auto connection =
      Connection::ConnectOverLink(port, kSegmentBytes, kReceiveBytes);
  if (!connection) {
    record.Write("no connection " + id);
    return End::kRefused;
  }
  connection->SetTimeout(Millis(kDeadlineMs));
  auto head = Ask(*connection, id + "a");
  std::string first;
  if (!head || head->status() != kOk ||
      !connection->ReadExactly(
          static_cast<std::size_t>(head->Number("content-length")), first)) {
    record.Write("first answer " + id + "a status " +
                 (head ? std::to_string(head->status()) : "none"));
    return End::kRefused;
  }
  if (head->Field("connection") == "close") {
    record.Write("first answer " + id + "a closes the connection");
    return End::kRefused;
  }
  head = Ask(*connection, id + "b");
  if (!head || head->status() != kOk) {
    record.Write("answer " + id + "b status " +
                 (head ? std::to_string(head->status()) : "none"));
    return End::kRefused;
  }
  const auto length = static_cast<std::size_t>(head->Number("content-length"));
  const std::size_t got = ReadSlowly(*connection, length);
  record.Write("answer " + id + "b status 200 connection " +
               head->Field("connection") + " length " + std::to_string(length) +
               " got " + std::to_string(got));
  return got == length ? End::kComplete : End::kCut;
}

/** Opens many requests that stop short of the end of their bodies, and sends
    a byte of each from time to time. */
auto PlayCrowd(Record& record, int port, const std::atomic<bool>& stops)
    -> void {
  constexpr std::size_t kSentBytes = 56'000;
  std::vector<std::unique_ptr<Connection>> crowd;
  crowd.reserve(kCrowd);
  const std::string start =
      "GET /status/c HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: c\r\n"
      "Authorization: Token key-1\r\nContent-Length: 60000\r\n\r\n" +
      std::string(kSentBytes, 'x');
  for (int i = 0; i < kCrowd && !stops; ++i) {
    auto connection = Connection::Connect(port);
    if (connection && connection->Send(start)) {
      crowd.push_back(std::move(connection));
    }
    Sleep(Millis(2));
  }
  record.Write("the crowd is open: " + std::to_string(crowd.size()));
  while (!stops) {
    const auto open =
        std::erase_if(crowd, [](const auto& item) { return !item->Send("x"); });
    record.Write("the crowd lost " + std::to_string(open));
    Sleep(Millis(200));
  }
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
    settings.body_bytes = kBodyBytes;
    servers.push_back(std::make_unique<Server>(record, fleet, settings));
  }
  if (!fleet.StartRouters(kRouters) || !fleet.WaitUntilReady(Millis(10000))) {
    record.Say("the routers did not become ready");
    return 2;
  }
  Sleep(Millis(4000));
  const int port = fleet.routers().front()->client_port;
  std::atomic<bool> stops = false;
  std::thread crowd([&] {
    if (has_trouble) {
      PlayCrowd(record, port, stops);
    }
  });
  Sleep(Millis(5000));
  std::atomic<int> complete = 0;
  std::atomic<int> cut = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const End end = RunCaller(record, port, "r" + std::to_string(i));
      complete += end == End::kComplete ? 1 : 0;
      cut += end == End::kCut ? 1 : 0;
    });
    Sleep(Millis(100));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  stops = true;
  crowd.join();
  record.Say("requests " + std::to_string(kCallers) + ", complete answers " +
             std::to_string(complete) + ", cut " + std::to_string(cut));
  if (complete + cut < kCallers / 2) {
    record.Say("could not run: too few requests were passed on");
    return 2;
  }
  const bool is_broken = cut > kMostLost;
  record.Say(is_broken ? "LOST is broken" : "LOST holds");
  return is_broken ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-9 RECORD FOLDER TROUBLE\n";
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

// Case 6: the store comes back from an older copy while all routers are killed.
// See review/6/claim.txt.

#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace review;  // NOLINT(google-build-using-namespace)

constexpr int kRouters = 6;
constexpr int kServers = 4;
constexpr Millis kBetweenStreams{60};
constexpr std::int64_t kDeadlineMs = 15000;
constexpr std::int64_t kPrepaid = 90000;
constexpr std::int64_t kPromptTokens = 826;
constexpr std::int64_t kTokensPerEvent = 5;

constexpr std::string_view kConfig = R"({"Version": 7, "Routes": [
 {"Name": "fitter-answer", "Host": "demo", "PathPrefix": "/answers/",
  "Type": "streaming", "Service": "klokke-lm", "TimeoutMs": 15000,
  "SloMs": 400, "Priority": 0, "MaxAttempts": 2, "Sticky": true,
  "Resumable": true, "GapTargetMs": 400}],
 "Services": [{"Name": "klokke-lm", "HealthPath": "/healthz", "MaxConns": 360,
  "Engine": {"BatchSlots": 64, "KvCapacity": 651753, "Stride": 5}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "t", "ApiKeys": ["key-1"], "Prepaid": 90000}]})";

struct Counts {
  std::atomic<int> served = 0;
  std::atomic<int> refused_for_budget = 0;
  std::atomic<std::int64_t> tokens = 0;
};

/** Asks for one stream. Counts its prompt once, and what was delivered. */
auto RunCaller(Record& record, const Fleet& fleet, Counts& counts, int number)
    -> void {
  constexpr int kPaymentRequired = 402;
  thread_local std::mt19937 random{std::random_device{}()};
  const std::vector<int> ports = fleet.Resolve();
  if (ports.empty()) {
    return;
  }
  const std::string id = "s" + std::to_string(number);
  const StreamAttempt answer = ReadStream(
      {ports[random() % ports.size()], "/answers/x", id, "", 0, kDeadlineMs},
      [](std::int64_t /*event*/) { return true; });
  const std::int64_t tokens =
      answer.events > 0 ? kPromptTokens + kTokensPerEvent * answer.events : 0;
  counts.tokens += tokens;
  counts.served += answer.is_complete ? 1 : 0;
  counts.refused_for_budget += answer.status == kPaymentRequired ? 1 : 0;
  record.Write("answer " + id + " status " + std::to_string(answer.status) +
               " events " + std::to_string(answer.events) + " tokens " +
               std::to_string(tokens) + " sum " +
               std::to_string(counts.tokens));
}

auto KillAll(Record& record, Fleet& fleet) -> void {
  for (const auto& router : fleet.routers()) {
    fleet.Signal(*router, SIGKILL);
  }
  for (const auto& router : fleet.routers()) {
    router->process.WaitForEnd(Millis(2000));
  }
  record.Write("all routers have ended");
}

/** The store is away for 2 s and comes back from a copy that is 9 s old; all
    routers are killed in that time and start again. */
auto MakeTrouble(Record& record, Fleet& fleet, bool drills, bool kills)
    -> void {
  if (drills) {
    record.Write("the store is away");
    Call(fleet.store_port(), "POST", "/faults", "silent");
  }
  Sleep(Millis(200));
  if (kills) {
    KillAll(record, fleet);
  }
  Sleep(Millis(1000));
  if (kills) {
    for (const auto& router : fleet.routers()) {
      fleet.Restart(*router);
    }
  }
  Sleep(Millis(800));
  if (drills) {
    record.Write("the store is back from its copy");
    Call(fleet.store_port(), "POST", "/faults", "restore");
  }
}

auto Play(Record& record, Fleet& fleet, bool drills, bool kills) -> int {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Settings settings;
    settings.id = "lm-" + std::to_string(i);
    settings.service = "klokke-lm";
    settings.zone = std::string(1, static_cast<char>('a' + i % 3));
    settings.interval = Millis(10);
    servers.push_back(std::make_unique<Server>(record, fleet, settings));
  }
  if (!fleet.StartRouters(kRouters) || !fleet.WaitUntilReady(Millis(10000))) {
    record.Say("the routers did not become ready");
    return 2;
  }
  Sleep(Millis(4000));
  record.Write("the store is copied");
  Call(fleet.store_port(), "POST", "/faults", "copy");
  Counts counts;
  std::atomic<bool> stops = false;
  std::vector<std::thread> callers;
  std::thread traffic([&] {
    for (int i = 0; !stops; ++i) {
      callers.emplace_back([&, i] { RunCaller(record, fleet, counts, i); });
      Sleep(kBetweenStreams);
    }
  });
  Sleep(Millis(7000));
  const std::int64_t before = counts.tokens;
  MakeTrouble(record, fleet, drills, kills);
  Sleep(Millis(20000));
  stops = true;
  traffic.join();
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Say("prepaid " + std::to_string(kPrepaid) + ", delivered " +
             std::to_string(counts.tokens) + " (before the trouble " +
             std::to_string(before) + "), streams served " +
             std::to_string(counts.served) + ", 402 " +
             std::to_string(counts.refused_for_budget));
  if (counts.served < 20) {
    record.Say("could not run: too few streams were served");
    return 2;
  }
  const bool is_broken = counts.tokens > kPrepaid;
  record.Say(is_broken ? "BUDGET is broken" : "BUDGET holds");
  return is_broken ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption; drill or kill: only that part of it. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-6 RECORD FOLDER TROUBLE\n";
    return 2;
  }
  const std::string trouble = arguments[3];
  Record record(arguments[1]);
  Fleet fleet(record, arguments[2]);
  if (!fleet.StartStore() ||
      !fleet.Put("keyed.op", "config", std::string(kConfig))) {
    record.Say("the store did not start");
    return 2;
  }
  return Play(record, fleet, trouble == "1" || trouble == "drill",
              trouble == "1" || trouble == "kill");
}

// Case 8: a rolling restart of the routers while callers read long streams. See
// review/8/claim.txt.

#include <algorithm>
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
constexpr int kServers = 8;
constexpr Millis kGap{2000};            ///< Of the rolling restart.
constexpr Millis kBetweenStreams{100};  ///< New streams.
constexpr Millis kCalm{22000};
constexpr Millis kAfter{12000};
constexpr std::int64_t kDeadlineMs = 15000;
constexpr int kLeastTakenUp = 12;
constexpr std::int64_t kLeavesAfter = 10;

struct Counts {
  std::atomic<int> begun_of = 0;  ///< New streams at machines in touch.
  std::atomic<int> begun = 0;
  std::atomic<int> taken_up_of = 0;  ///< Taken up at machines in touch.
  std::atomic<int> taken_up = 0;
};

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

/** A caller with one stream: takes it up once if its connection breaks. */
class Caller {
 public:
  Caller(Record& record, Fleet& fleet, Counts& counts, int number)
      : record(record),
        fleet(fleet),
        counts(counts),
        id("s" + std::to_string(number)),
        leaves(number >= 160 && number < 190 && number % 5 == 0) {}

  auto Run() -> void {
    const std::int64_t began_at = this->record.now();
    const int port = this->Choose(0);
    if (port == 0) {
      return;
    }
    const StreamAttempt first =
        this->Ask({port, "/answers/x", this->id, "", 0, kDeadlineMs},
                  this->leaves ? kLeavesAfter : 0);
    if (first.status != 200 || first.is_complete || first.events == 0) {
      return;
    }
    const std::int64_t left = kDeadlineMs - (this->record.now() - began_at);
    const int second_port = this->Choose(port);
    if (second_port == 0 || left <= 0) {
      return;
    }
    this->Ask({second_port, "/answers/x", this->id + "b", this->id,
               first.last_event, left},
              0);
  }

 private:
  /** Returns a router's port at random; 0 if there is none but `failed`. */
  auto Choose(int failed) -> int {
    std::vector<int> ports = this->fleet.Resolve();
    std::erase(ports, failed);
    if (ports.empty()) {
      return 0;
    }
    thread_local std::mt19937 random{std::random_device{}()};
    return ports[random() % ports.size()];
  }

  /** @param leaves_after  the event after which it closes its connection; 0:
     none. */
  auto Ask(const StreamRequest& request, std::int64_t leaves_after)
      -> StreamAttempt {
    const Fleet::Router& router = this->fleet.At(request.port);
    const std::int64_t asked_at = this->record.now();
    const bool was_in_touch = Fleet::WasInTouch(router, asked_at);
    const bool is_new = request.resumes.empty();
    this->record.Write((is_new ? "ask " : "take-up ") + request.id + " at " +
                       router.name + " after " +
                       std::to_string(request.last_event) +
                       (was_in_touch ? " in-touch" : " out-of-touch"));
    bool has_begun = false;
    StreamAttempt attempt = ReadStream(request, [&](std::int64_t event) {
      has_begun = true;
      return event != leaves_after;
    });
    this->record.Write(
        "answer " + request.id + " status " + std::to_string(attempt.status) +
        " events " + std::to_string(attempt.events) + " last " +
        std::to_string(attempt.last_event) +
        (attempt.is_complete ? " complete" : " broken") +
        (attempt.retry_after.empty() ? ""
                                     : " retry-after " + attempt.retry_after));
    // Disturbed before its first answer: out of touch, too.
    if (was_in_touch && (has_begun || router.disturbed_at <= asked_at)) {
      ++(is_new ? this->counts.begun_of : this->counts.taken_up_of);
      if (has_begun) {
        ++(is_new ? this->counts.begun : this->counts.taken_up);
      }
    }
    return attempt;
  }

  Record& record;
  Fleet& fleet;
  Counts& counts;
  std::string id;
  bool leaves;  ///< Loses its connection in calm, with and without trouble.
};

/** Stops each router with SIGTERM, one each `kGap`, and starts it again. */
auto RollRouters(Record& record, Fleet& fleet) -> void {
  std::vector<std::thread> restarts;
  for (const auto& router : fleet.routers()) {
    fleet.Signal(*router, SIGTERM);
    restarts.emplace_back([&record, &fleet, item = router.get()] {
      if (!item->process.WaitForEnd(Millis(8000))) {
        record.Write("kill " + item->name);
        item->process.Signal(SIGKILL);
        item->process.WaitForEnd(Millis(2000));
      }
      record.Write("end " + item->name);
      Sleep(Millis(300));
      fleet.Restart(*item);
    });
    Sleep(kGap);
  }
  for (std::thread& restart : restarts) {
    restart.join();
  }
}

auto Play(Record& record, Fleet& fleet, bool has_trouble) -> int {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Settings settings;
    settings.id = "lm-" + std::to_string(i);
    settings.service = "klokke-lm";
    settings.zone = std::string(1, static_cast<char>('a' + i % 3));
    settings.version = "v1";
    settings.interval = Millis(200);
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
      callers.emplace_back([&, i] { Caller(record, fleet, counts, i).Run(); });
      Sleep(kBetweenStreams);
    }
  });
  Sleep(kCalm);
  if (has_trouble) {
    RollRouters(record, fleet);
  }
  Sleep(kAfter);
  stops = true;
  traffic.join();
  for (std::thread& caller : callers) {
    caller.join();
  }
  const double new_share =
      counts.begun_of > 0 ? double(counts.begun) / counts.begun_of : 0.0;
  const double share = counts.taken_up_of > 0
                           ? double(counts.taken_up) / counts.taken_up_of
                           : 0.0;
  record.Say(
      "new streams at machines in touch: " + std::to_string(counts.begun_of) +
      ", begun " + std::to_string(counts.begun));
  record.Say(
      "taken up at machines in touch: " + std::to_string(counts.taken_up_of) +
      ", went on " + std::to_string(counts.taken_up));
  if (counts.begun_of < 20 || new_share < 0.5) {
    record.Say("could not run: too few streams began");
    return 2;
  }
  const bool is_broken =
      counts.taken_up_of >= kLeastTakenUp && share < new_share / 2;
  record.Say(is_broken ? "LOST is broken" : "LOST holds");
  return is_broken ? 1 : 0;
}

}  // namespace

/** @param arguments  the record's path, a folder for logs, and 1 or 0 for the
    disruption. */
auto main(int count, char** arguments) -> int {
  if (count != 4) {
    std::cerr << "usage: case-8 RECORD FOLDER TROUBLE\n";
    return 2;
  }
  Record record(arguments[1]);
  Fleet fleet(record, arguments[2]);
  if (!fleet.StartStore() ||
      !fleet.Put("keyed.op", "config", std::string(kConfig))) {
    record.Say("the store did not start");
    return 2;
  }
  const int result = Play(record, fleet, std::string(arguments[3]) != "0");
  return result;
}

// A part of a prompt that ends each engine which begins to answer it: the fleet
// must stop sending it, and go on serving the requests that share the rest.
#include "al_edge/loop/loop_timer.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using Arrival = RawUpstream::Arrival;

constexpr std::string_view kEvents = "Content-Type: text/event-stream\r\n";

/** The upstream crashes after the time that reading a prompt takes. */
constexpr Duration kTimeToCrash = milliseconds(30);

/** A process that crashed is replaced after this time. */
constexpr Duration kTimeToStart = milliseconds(50);

/** Within this time, the routers know that an engine has started again. */
constexpr Duration kRestart = milliseconds(500);

/** Within this time, all routers know what one of them has seen. */
constexpr Duration kSpreading = milliseconds(1'500);

}  // namespace

/** Two routers and six engines. Requests whose id begins with `bad` have the
    part `dead` and crash the engine, which starts again; all others are served.
 */
TEST_GROUP(CrashQuarantineSessions) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<RawUpstream>> engines;
  std::vector<std::unique_ptr<LoopTimer>> timers;
  int bad_arrivals = 0;
  std::int64_t last_start = 1;
  int warm_up_left_ms = 0;  ///< In the records that are written from now on.

  TEST_SETUP() {
    for (const auto* const upstream :
         {&this->fixture.engine_1, &this->fixture.engine_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "engines", true);
    }
    for (int number = 0; number < 6; ++number) {
      this->engines.push_back(std::make_unique<RawUpstream>(
          this->fixture.poller, "raw-" + std::to_string(number)));
      this->engines.back()->SetScript([this, number](const Arrival& arrival) {
        this->OnArrival(number, arrival);
      });
      this->List(number, this->last_start);
    }
    this->fixture.AddRouter(2);
    this->fixture.Publish(1, 10'000'000);
    this->fixture.RunFor(milliseconds(1'500));
  }

  auto OnArrival(int number, const Arrival& arrival)->void {
    if (!arrival.id.starts_with("bad")) {
      arrival.send(RawUpstream::Head(arrival.id, kEvents) +
                   "id: 1\ndata: one\n\n");
      arrival.close();
      return;
    }
    ++this->bad_arrivals;
    this->After(kTimeToCrash, [this, number] {
      this->engines[static_cast<std::size_t>(number)]->Crash();
    });
    this->After(kTimeToCrash + kTimeToStart, [this, number] {
      this->engines[static_cast<std::size_t>(number)]->Restart();
      this->List(number, ++this->last_start);
    });
  }

  auto After(Duration delay, const std::function<void()>& call)->void {
    this->timers.push_back(
        std::make_unique<LoopTimer>(this->fixture.loop, call));
    this->timers.back()->Start(delay);
  }

  /** Writes the record of an engine that started at `start_unix_ms`. */
  auto List(int number, std::int64_t start_unix_ms)->void {
    const auto& engine = this->engines[static_cast<std::size_t>(number)];
    std::string entry = engine->Entry("engines", start_unix_ms);
    entry.insert(entry.size() - 1,
                 ",\"WarmupLeftMs\":" + std::to_string(this->warm_up_left_ms));
    this->fixture.store.Put("keyed.servers", "raw-" + std::to_string(number),
                            entry);
  }

  /** Sends a request whose prompt is the shared part `base`, then `middle`, and
      a part of its own. */
  auto Call(int router, const std::string& id, const std::string& middle,
            const std::string& path = "/draft/")
      ->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = id;
    call.path = path;
    call.tokens = "30,20";
    call.prompt_parts = "base:10," + middle + ":10,own-" + id + ":10";
    return this->fixture.SendTo(GatewayFixture::AddressOf(router, "clients"),
                                call);
  }
};

// Guards against a part of prompts that ends engine after engine: once five
// have crashed, no router sends it on, and what shares the rest is served.
TEST(CrashQuarantineSessions, StopAPartThatEndsEngines) {
  for (int number = 1; number <= 5; ++number) {
    const std::string text = std::to_string(number);
    this->Call(1 + number % 2, "bad" + text, "dead");
    CHECK_EQUAL(200, this->Call(1, "good" + text, "sound" + text).status);
    this->fixture.RunFor(kRestart);
  }
  this->fixture.RunFor(kSpreading);
  const int before = this->bad_arrivals;
  for (int number = 6; number <= 15; ++number) {
    const std::string text = std::to_string(number);
    const auto response = this->Call(1 + number % 2, "bad" + text, "dead");
    CHECK_EQUAL(503, response.status);
    CHECK_FALSE(response.retry_after.empty());
    CHECK_EQUAL(200, this->Call(1 + number % 2, "good" + text, "sound").status);
  }
  CHECK_EQUAL(before, this->bad_arrivals);
}

// Guards against a retry that carries such a part to one more engine: what
// ended engines three times is not sent again, and not said to be unexecuted.
TEST(CrashQuarantineSessions, RetryNoPartThatEndsEngines) {
  this->Call(1, "good1", "sound");
  this->Call(1, "bad1", "dead", "/ask/");
  CHECK_EQUAL(2, this->bad_arrivals);  // The route allows two attempts.
  CHECK_EQUAL(502, this->Call(1, "bad2", "dead", "/ask/").status);
  CHECK_EQUAL(3, this->bad_arrivals);
}

// Guards against a part that is quarantined although the engines that ended
// under it were cold, and so ended under requests that they serve warm.
TEST(CrashQuarantineSessions, SpareAPartUnderWhichColdEnginesEnd) {
  this->warm_up_left_ms = 60'000;
  for (int number = 0; number < 6; ++number) {
    this->List(number, ++this->last_start);
  }
  this->fixture.RunFor(kRestart);
  for (int number = 1; number <= 8; ++number) {
    const std::string text = std::to_string(number);
    CHECK_EQUAL(502, this->Call(1 + number % 2, "bad" + text, "hot").status);
    this->fixture.RunFor(kRestart);
  }
  this->fixture.RunFor(kSpreading);
  CHECK_EQUAL(8, this->bad_arrivals);
  CHECK_EQUAL(200, this->Call(1, "good", "hot").status);
}

// A request that ends each upstream which begins to run it, and that callers
// send again and again: the fleet must stop sending it, whatever its kind, and
// go on serving all others.
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

/** The upstream ends after it has run a request for so long. */
constexpr Duration kTimeToEnd = milliseconds(30);

/** A process that ended is replaced after this time. */
constexpr Duration kTimeToStart = milliseconds(50);

/** Within this time, the routers know that an upstream has started again. */
constexpr Duration kRestart = milliseconds(600);

/** Within this time, all routers know what one of them has seen. */
constexpr Duration kSpreading = milliseconds(2'000);

/** How often a request may reach upstreams once three have ended under it. */
constexpr int kMaxSendsAfterThreeEnds = 3;

/** More calls than that bound. */
constexpr int kFurtherCalls = 10;

}  // namespace

/** Two routers; three upstreams run a service, and three an engine. A request
    whose path has `dead` in it ends the upstream, which starts again; all
   others are served. */
TEST_GROUP(DeadlyRequestSessions) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::vector<std::unique_ptr<LoopTimer>> timers;
  int ended = 0;
  int calls = 0;
  std::int64_t last_start = 1;

  TEST_SETUP() {
    for (const auto* const replaced :
         {&this->fixture.engine_1, &this->fixture.engine_2}) {
      this->fixture.List(**replaced, (*replaced)->id(), "engines", true);
    }
    for (const auto* const replaced :
         {&this->fixture.service_1, &this->fixture.service_2}) {
      this->fixture.List(**replaced, (*replaced)->id(), "desks", true);
    }
    for (int number = 0; number < 6; ++number) {
      this->upstreams.push_back(std::make_unique<RawUpstream>(
          this->fixture.poller, "raw-" + std::to_string(number)));
      this->upstreams.back()->SetScript([this, number](const Arrival& arrival) {
        this->OnArrival(number, arrival);
      });
      this->List(number);
    }
    this->fixture.AddRouter(2);
    this->fixture.Publish(1, 10'000'000);
    this->fixture.RunFor(milliseconds(1'500));
  }

  auto OnArrival(int number, const Arrival& arrival)->void {
    if (arrival.target.find("dead") == std::string::npos) {
      if (number < 3) {
        arrival.send(RawUpstream::Whole(arrival.id, "ok"));
      } else {
        arrival.send(RawUpstream::Head(arrival.id, kEvents) +
                     "id: 1\ndata: one\n\n");
        arrival.close();
      }
      return;
    }
    ++this->ended;
    this->After(kTimeToEnd, [this, number] {
      this->upstreams[static_cast<std::size_t>(number)]->Crash();
    });
    this->After(kTimeToEnd + kTimeToStart, [this, number] {
      this->upstreams[static_cast<std::size_t>(number)]->Restart();
      ++this->last_start;
      this->List(number);
    });
  }

  auto After(Duration delay, const std::function<void()>& call)->void {
    this->timers.push_back(
        std::make_unique<LoopTimer>(this->fixture.loop, call));
    this->timers.back()->Start(delay);
  }

  /** Writes the record of an upstream that has started. */
  auto List(int number)->void {
    const auto& upstream = this->upstreams[static_cast<std::size_t>(number)];
    this->fixture.store.Put(
        "keyed.servers", "raw-" + std::to_string(number),
        upstream->Entry(number < 3 ? "desks" : "engines", this->last_start));
  }

  /** Sends a request to the two routers in turn, each time with another id.
      @param tokens  set for a generation. */
  auto Send(const std::string& path, const std::string& tokens = {})
      ->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = "call-" + std::to_string(++this->calls);
    call.path = path;
    call.tokens = tokens;
    call.prompt_parts = "base:10,middle:10,own:10";
    return this->fixture.SendTo(
        GatewayFixture::AddressOf(1 + this->calls % 2, "clients"), call);
  }

  /** Sends the request below `route` until three upstreams have ended, then
      some more, beside others on the same route. Checks that it is refused and
      they are served. */
  auto CheckContained(const std::string& route, const std::string& tokens = {})
      ->void {
    const std::string deadly = route + "dead/";
    for (int call = 0; call < kFurtherCalls && this->ended < 3; ++call) {
      this->Send(deadly, tokens);
      CHECK_EQUAL(200, this->Send(route, tokens).status);
      this->fixture.RunFor(kRestart);
    }
    CHECK_TRUE(this->ended >= 3);
    this->fixture.RunFor(kSpreading);
    const int before = this->ended;
    for (int call = 0; call < kFurtherCalls; ++call) {
      const auto response = this->Send(deadly, tokens);
      if (this->ended == before) {
        CHECK_EQUAL(503, response.status);
        CHECK_FALSE(response.retry_after.empty());
      }
      this->Send(route, tokens);
      this->fixture.RunFor(milliseconds(100));
    }
    CHECK_TRUE(this->ended - before <= kMaxSendsAfterThreeEnds);
    this->fixture.RunFor(kRestart);
    CHECK_EQUAL(200, this->Send(route, tokens).status);
  }
};

// Guards against a read that callers repeat, each time as a new request and at
// another router, and that ends server after server of a plain service.
TEST(DeadlyRequestSessions, StopAReadThatEndsServers) {
  this->CheckContained("/read/");
}

// Guards against the same with a request that may run at one server only.
TEST(DeadlyRequestSessions, StopAnUnsafeRequestThatEndsServers) {
  this->CheckContained("/once/");
}

// Guards against a generation that ends engines as a whole, while others that
// share all parts of its prompt are served.
TEST(DeadlyRequestSessions, StopAGenerationThatEndsEngines) {
  this->CheckContained("/draft/", "30,20");
}

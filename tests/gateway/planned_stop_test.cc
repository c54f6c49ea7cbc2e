// Requests that reach a router between the signal of a planned stop and its
// exit: each is answered whole, or refused as not executed.
#include "al_gateway/limits/attempt_timeouts.h"
#include "al_gateway/limits/drain_schedule.h"
#include "al_gateway/upstreams/pace_meter.h"
#include "support/drain_play.h"
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto At(Duration since_start) -> Instant {
  return Instant(std::chrono::hours(1)) + since_start;
}

}  // namespace

//==============================================================================
// Decisions

TEST_GROUP(DrainDecisions){};

// Guards against an engine whose pace of long ago decides, and against one
// whose slow moment is forgotten at once.
TEST(DrainDecisions, ReckonWithTheSlowestRecentPace) {
  PaceMeter meter;
  CHECK_FALSE(meter.SlowestPerToken(At(seconds(0))).has_value());
  meter.Record(milliseconds(12), At(seconds(0)));
  meter.Record(milliseconds(5), At(seconds(4)));
  meter.Record(milliseconds(6), At(seconds(6)));
  CHECK_TRUE(meter.SlowestPerToken(At(seconds(6))) == milliseconds(12));
  CHECK_TRUE(meter.SlowestPerToken(At(seconds(11))) == milliseconds(6));
  CHECK_FALSE(meter.SlowestPerToken(At(seconds(17))).has_value());
}

// Guards against a limit that is only as fresh as the last tick: the time left
// is that of the moment at which the request is taken.
TEST(DrainDecisions, CountTheTimeFromTheMomentOfTaking) {
  const DrainSchedule schedule(At(seconds(0)), seconds(8));
  const Instant end = schedule.service_ends_at();
  CHECK_TRUE(end < At(seconds(8)));
  CHECK_TRUE(schedule.HasTimeFor(milliseconds(1'000), end - seconds(1)));
  CHECK_FALSE(
      schedule.HasTimeFor(milliseconds(1'000), end - milliseconds(999)));
}

// Guards against one figure for all engines: 460 tokens last 4.6 s at 10 ms.
TEST(DrainDecisions, ExpectALongStreamOfASlowEngine) {
  RequestMetadata request;
  request.generation.emplace();
  request.generation->max_output_tokens = 460;
  CHECK_TRUE(MaxStreamDuration(request, Duration(0), milliseconds(10)) >
             milliseconds(4'600));
  CHECK_TRUE(MaxStreamDuration(request, seconds(1), milliseconds(5)) <
             milliseconds(4'900));
}

//==============================================================================
// Sessions

TEST_GROUP(PlannedStops) {
  GatewayFixture fixture{seconds(5)};

  TEST_SETUP() {
    this->fixture.Publish(1, 1'000'000);
  }

  auto SetPace(Duration between_events)->void {
    this->fixture.engine_1->SetPace(milliseconds(2), between_events);
    this->fixture.engine_2->SetPace(milliseconds(2), between_events);
  }

  auto Call(const std::string& id, const std::string& path,
            const std::string& tokens = "")
      ->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = id;
    call.path = path;
    call.tokens = tokens;
    return this->fixture.Send(call);
  }

  [[nodiscard]] auto executions() const->std::size_t {
    return this->fixture.engine_1->executions().size() +
           this->fixture.engine_2->executions().size();
  }
};

// Guards against a generation that is taken and then cut by the exit, at an
// engine of which the router has seen no stream: 5.5 ms a token was assumed.
TEST(PlannedStops, RefuseAStreamOfAnEngineThatNothingIsKnownOf) {
  this->SetPace(milliseconds(1'000));  // 3 s in all.
  this->fixture.router->Drain();
  this->fixture.RunFor(milliseconds(3'200));
  const auto late = this->Call("a1", "/draft/", "100,20");
  CHECK_EQUAL(503, late.status);
  CHECK_FALSE(late.retry_after.empty());
  CHECK_EQUAL(0, this->executions());
}

// Guards against refusing what can still be served: the engine is quick.
TEST(PlannedStops, TakeAShortStreamOfAQuickEngineLate) {
  this->SetPace(milliseconds(2));
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "100,20").status);
  this->fixture.router->Drain();
  this->fixture.RunFor(milliseconds(3'200));
  CHECK_EQUAL(200, this->Call("a2", "/draft/", "100,20").status);
  CHECK_EQUAL(2, this->executions());
}

// Load pattern: each kind of request, each 100 ms of the grace period, on new
// and kept connections. Guards against requests that are taken late and cut by
// the exit, among them ones that must not be repeated.
TEST_GROUP(PlannedStopsInCalm){};

TEST(PlannedStopsInCalm, CutNoRequestOfAnyKind) {
  DrainPlay::Settings settings;
  settings.grace_period = seconds(6);
  DrainPlay play(settings);
  int answered = 0;
  for (const DrainPlay::Result& result : play.Run()) {
    const std::string what = std::string(DrainPlay::kKinds[result.kind].name) +
                             " at " + std::to_string(result.moment.count());
    CHECK_TRUE_TEXT(result.outcome != DrainPlay::Outcome::kCut, what.c_str());
    CHECK_TRUE_TEXT(result.outcome != DrainPlay::Outcome::kFailed,
                    what.c_str());
    answered += result.outcome == DrainPlay::Outcome::kAnswered ? 1 : 0;
  }
  CHECK_TRUE(answered > 100);
}

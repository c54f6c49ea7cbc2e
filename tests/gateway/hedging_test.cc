// When a request gets a second attempt, in virtual time.
#include <algorithm>
#include <cmath>

#include "al_gateway/hedging/hedge_delay.h"
#include "al_gateway/hedging/hedge_policy.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/model/fleet_config.h"
#include "support/hedge_play.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kService = "desks";

const Instant kStart = Instant() + seconds(1'000);

auto MakeRoute(const std::string& name = "read") -> RouteRule {
  RouteRule route;
  route.name = name;
  route.kind = RouteKind::kIdempotent;
  route.latency_objective = milliseconds(500);
  route.timeout = seconds(2);
  route.max_attempts = 2;
  return route;
}

}  // namespace

//==============================================================================

TEST_GROUP(HedgeDelays) {
  HedgeDelay delay{0.95};
  RouteRule route = MakeRoute();
  Instant now = kStart;

  auto Record(int count, Duration latency)->void {
    for (int i = 0; i < count; ++i) {
      this->now += milliseconds(10);
      this->delay.Record(this->route, latency, this->now);
    }
  }
};

// A router that has seen ten requests. Guards against a delay from a few
// samples that happen to be short.
TEST(HedgeDelays, AreAFractionOfTheObjectiveUntilThereAreSamples) {
  CHECK_TRUE(milliseconds(250) == this->delay.DelayOf(this->route, this->now));
  this->Record(10, milliseconds(30));
  CHECK_TRUE(milliseconds(250) == this->delay.DelayOf(this->route, this->now));
  this->Record(40, milliseconds(30));
  CHECK_TRUE(this->delay.DelayOf(this->route, this->now) < milliseconds(40));
}

// A route whose usual time is 50 ms, and 400 ms for a tenth. Guards against
// second attempts for requests that are no later than usual, and against one
// route's delay from another's times.
TEST(HedgeDelays, AreAHighQuantileOfTheirRoute) {
  for (int i = 0; i < 100; ++i) {
    this->Record(9, milliseconds(50));
    this->Record(1, milliseconds(400));
  }
  const Duration own = this->delay.DelayOf(this->route, this->now);
  CHECK_TRUE(own >= milliseconds(400));
  CHECK_TRUE(own < milliseconds(460));
  CHECK_TRUE(milliseconds(250) ==
             this->delay.DelayOf(MakeRoute("other"), this->now));
}

// A route answered in a millisecond. Guards against second attempts as soon as
// this machine is busy for some milliseconds.
TEST(HedgeDelays, HaveAFloor) {
  this->Record(100, milliseconds(1));
  CHECK_TRUE(milliseconds(20) == this->delay.DelayOf(this->route, this->now));
}

// Upstreams that become faster after a slow period. Guards against a delay that
// is kept for hours.
TEST(HedgeDelays, FollowTheUpstreams) {
  this->Record(200, milliseconds(400));
  this->now += seconds(600);
  this->Record(50, milliseconds(50));
  CHECK_TRUE(this->delay.DelayOf(this->route, this->now) < milliseconds(60));
}

// A router without requests for half an hour. Guards against a delay from times
// of another load.
TEST(HedgeDelays, ForgetOldTimes) {
  this->Record(200, milliseconds(50));
  this->now += seconds(1'800);
  CHECK_TRUE(milliseconds(250) == this->delay.DelayOf(this->route, this->now));
}

//==============================================================================

TEST_GROUP(HedgePolicies) {
  FleetRetryBudget budget{FleetRetryLimit{}};
  HedgePolicy policy{1.0, this->budget};
  RouteRule route = MakeRoute();
  HedgePolicy::Query query{.route = this->route, .service = kService};
  Instant now = kStart;

  TEST_SETUP() {
    this->query.waited = milliseconds(250);
    this->query.time_left = milliseconds(1'500);
    this->query.candidate = HedgePolicy::Candidate{milliseconds(30), 0, 6};
    this->BeginRequests(20);
  }

  auto BeginRequests(int count)->void {
    for (int i = 0; i < count; ++i) {
      this->now += milliseconds(10);
      this->budget.RecordRequest(kService, this->now);
      static_cast<void>(
          this->policy.BeginRequest(this->route, kService, this->now));
    }
  }

  auto CheckDecision(HedgeDecision expected)->void {
    CHECK_EQUAL(
        std::string(NameOf(expected)),
        std::string(NameOf(this->policy.Decide(this->query, this->now))));
  }
};

// A late idempotent request, and a late resumable stream.
TEST(HedgePolicies, SendASecondAttempt) {
  this->CheckDecision(HedgeDecision::kSend);
  this->route.kind = RouteKind::kStream;
  this->route.resumable = true;
  this->CheckDecision(HedgeDecision::kSend);
}

// Routes that allow one execution. Guards against a request that is executed
// twice though it must not be.
TEST(HedgePolicies, RepeatNothingThatMustNotRepeat) {
  for (const RouteKind kind : {RouteKind::kAtMostOnce, RouteKind::kStream}) {
    this->route.kind = kind;
    CHECK_FALSE(this->policy.BeginRequest(this->route, kService, this->now)
                    .has_value());
    this->CheckDecision(HedgeDecision::kNotRepeatable);
  }
  this->route.kind = RouteKind::kIdempotent;
  this->route.max_attempts = 1;
  CHECK_FALSE(
      this->policy.BeginRequest(this->route, kService, this->now).has_value());
}

// A request that was executed as often as its route allows.
TEST(HedgePolicies, StayWithinTheAttemptsOfTheRoute) {
  this->query.executions = 2;
  this->CheckDecision(HedgeDecision::kAttemptsUsed);
}

// An upstream that has begun to answer.
TEST(HedgePolicies, SendNothingOnceAnAnswerHasBegun) {
  this->query.has_begun = true;
  this->CheckDecision(HedgeDecision::kBegun);
}

// A request that may be what ends upstreams. Guards against a second upstream
// that it ends.
TEST(HedgePolicies, SendNoSuspect) {
  this->query.is_suspect = true;
  this->CheckDecision(HedgeDecision::kSuspect);
}

TEST(HedgePolicies, SendNothingInADrain) {
  this->query.is_draining = true;
  this->CheckDecision(HedgeDecision::kDraining);
}

// A caller that waits for 200 ms more, where an attempt may take 250 ms.
TEST(HedgePolicies, SendNothingThatWouldComeTooLate) {
  this->query.time_left = milliseconds(200);
  this->CheckDecision(HedgeDecision::kNoTime);
}

// The only other upstream is removed, leaving or limited.
TEST(HedgePolicies, NeedAnotherUpstream) {
  this->query.candidate.reset();
  this->CheckDecision(HedgeDecision::kNoUpstream);
}

// All upstreams have queues. Guards against a second attempt that waits longer
// than the first one still has to.
TEST(HedgePolicies, SendNothingToAnUpstreamThatIsNoFaster) {
  this->query.candidate = HedgePolicy::Candidate{milliseconds(300), 0, 6};
  this->CheckDecision(HedgeDecision::kPressure);
  this->query.candidate = HedgePolicy::Candidate{milliseconds(30), 6, 6};
  this->CheckDecision(HedgeDecision::kPressure);
  // Two each of three routers.
  this->query.candidate = HedgePolicy::Candidate{milliseconds(30), 2, 6};
  this->query.routers = 3;
  this->CheckDecision(HedgeDecision::kPressure);
}

// An upstream has refused a request. Guards against second attempts that take
// the place of requests which wait for it.
TEST(HedgePolicies, SendNothingWhileUpstreamsRefuse) {
  this->policy.RecordRefusal(kService, this->now);
  this->CheckDecision(HedgeDecision::kPressure);
  this->now += milliseconds(1'100);
  this->BeginRequests(100);
  this->CheckDecision(HedgeDecision::kSend);
}

// Half of all requests are late at once, as in a burst. Guards against a fleet
// that doubles the load in it.
TEST(HedgePolicies, SendNothingWhileManyAreLate) {
  int sent = 0;
  for (int i = 0; i < 60; ++i) {
    this->BeginRequests(2);
    sent += this->policy.Decide(this->query, this->now) == HedgeDecision::kSend
                ? 1
                : 0;
  }
  CHECK_TRUE(sent <= 12);
  this->CheckDecision(HedgeDecision::kPressure);
}

// The fleet's retries are used up. Guards against routers that together send
// more retries than the fleet may.
TEST(HedgePolicies, TakeFromTheFleetsRetryBudget) {
  FleetRetryBudget small({0.0, 3.0, 10});
  HedgePolicy hedges(1.0, small);
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(hedges.BeginRequest(this->route, kService, this->now));
  }
  // 70% of three.
  for (const HedgeDecision expected :
       {HedgeDecision::kSend, HedgeDecision::kSend,
        HedgeDecision::kRetryBudgetUsed}) {
    CHECK_TRUE(expected == hedges.Decide(this->query, this->now));
  }
  CHECK_FALSE(small.TryTake(kService, 1, this->now));
}

// One request in ten is late. Guards against more second attempts than the
// share, in all requests and in any thousand in a row.
TEST(HedgePolicies, KeepTheirShare) {
  for (const double share : {0.0, 0.01, 0.02, 0.05, 0.10}) {
    FleetRetryBudget large({1.0, 1'000.0, 10});
    HedgePolicy hedges(share, large);
    std::vector<int> sent;  // Up to each request.
    int total = 0;
    for (int i = 0; i < 5'000; ++i) {
      this->now += milliseconds(20);
      large.RecordRequest(kService, this->now);
      const auto late_after =
          hedges.BeginRequest(this->route, kService, this->now);
      CHECK_EQUAL(share > 0.0, late_after.has_value());
      if (late_after && i % 10 == 0) {
        total += hedges.Decide(this->query, this->now) == HedgeDecision::kSend
                     ? 1
                     : 0;
      }
      sent.push_back(total);
      const int in_window = i < 1'000 ? total : total - sent[i - 1'000];
      CHECK_TRUE(in_window <= share * std::min(i + 1, 1'000) + 1e-9);
    }
    CHECK_TRUE(total >= share * 5'000 * 0.95);
  }
}

//==============================================================================

TEST_GROUP(HedgePlays) {
  HedgePlay::Settings settings;

  auto Run(double share)->HedgePlay::Result {
    this->settings.share = share;
    HedgePlay::Result result = HedgePlay(this->settings).Run();
    CHECK_TRUE(static_cast<double>(result.hedges) <=
               share * static_cast<double>(result.requests));
    CHECK_EQUAL(0, result.double_answers);
    CHECK_EQUAL(result.requests, result.times_ms.size());
    return result;
  }
};

// One engine of sixty needs six times as long. Guards against callers whose
// prompt has its home there and who wait for it.
TEST(HedgePlays, OneSlowEngineInSixty) {
  this->settings.slow_factor = 6.0;
  const auto without = this->Run(0.0);
  const auto with = this->Run(0.02);
  CHECK_TRUE(with.Quantile(0.999) < 0.7 * without.Quantile(0.999));
  CHECK_TRUE(with.Quantile(0.99) < 0.6 * without.Quantile(0.99));
}

// Each engine needs 2.5 times as long in 15 of 100 moments. Guards against a
// tail that second attempts make longer, and against more of them than the
// share though a seventh of all requests is late.
TEST(HedgePlays, NoiseInFifteenOfAHundredMoments) {
  this->settings.has_noise = true;
  const auto without = this->Run(0.0);
  const auto with = this->Run(0.05);
  CHECK_TRUE(with.Quantile(0.999) < 0.9 * without.Quantile(0.999));
  CHECK_TRUE(with.Quantile(0.99) < 1.02 * without.Quantile(0.99));
  CHECK_TRUE(with.Quantile(0.5) < 1.02 * without.Quantile(0.5));
}

// Six times the usual load, which is more than the engines can take. Guards
// against second attempts that take places from first ones.
TEST(HedgePlays, ABurstIsNotHedged) {
  this->settings.burst_at = seconds(20);
  this->settings.burst_span = seconds(10);
  this->settings.burst_factor = 6.0;
  this->settings.span = seconds(40);
  const auto without = this->Run(0.0);
  const auto with = this->Run(0.10);
  CHECK_TRUE(with.requests_in_burst > 8'000);
  // Those that were sent before the queues had grown.
  CHECK_TRUE(with.hedges_in_burst < with.requests_in_burst / 40);
  CHECK_TRUE(with.Quantile(0.99) < 1.05 * without.Quantile(0.99));
  CHECK_TRUE(with.unanswered <= without.unanswered + 10);
}

// Six times the usual load at plain upstreams with few slots. Guards against
// second attempts for upstreams whose slots other routers occupy.
TEST(HedgePlays, ABurstAtPlainUpstreamsIsNotHedged) {
  this->settings.is_stream = false;
  this->settings.upstreams = 6;
  this->settings.slots = 6;
  this->settings.burst_at = seconds(20);
  this->settings.burst_span = seconds(10);
  this->settings.burst_factor = 6.0;
  this->settings.span = seconds(40);
  const auto with = this->Run(0.10);
  CHECK_TRUE(with.requests_in_burst > 8'000);
  CHECK_TRUE(with.hedges_in_burst < with.requests_in_burst / 500);
}

// One engine never answers. Guards against callers that wait until the attempt
// is replaced after one and a half times the objective.
TEST(HedgePlays, AnUpstreamThatDoesNotAnswer) {
  this->settings.is_first_silent = true;
  const auto without = this->Run(0.0);
  const auto with = this->Run(0.02);
  CHECK_TRUE(without.Quantile(0.999) > 750.0);
  CHECK_TRUE(with.Quantile(0.999) < 300.0);
}

// Plain services of six upstreams, one of them slow, at each share. Guards
// against more second attempts than the share, against a share that is of no
// use, and against a slow upstream that gets more requests as its attempts are
// cancelled before they are found to be slow.
TEST(HedgePlays, PlainResponsesAtEachShare) {
  this->settings.is_stream = false;
  this->settings.upstreams = 6;
  this->settings.slots = 6;
  this->settings.slow_factor = 6.0;
  const auto without = this->Run(0.0);
  CHECK_EQUAL(0, without.hedges);
  CHECK_TRUE(without.decisions.empty());
  for (const double share : {0.01, 0.02, 0.05, 0.10}) {
    const auto with = this->Run(share);
    CHECK_TRUE(with.hedges > 0);
    CHECK_TRUE(with.Quantile(0.999) < 0.9 * without.Quantile(0.999));
    // A hundredth of the requests tries the slow one anew; p99 is at its edge.
    CHECK_TRUE(with.Quantile(0.985) < 1.1 * without.Quantile(0.985));
  }
}

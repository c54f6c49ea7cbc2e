// Admission under pressure: which requests begin while a service can't begin
// all of them in time. The decisions are played in virtual time, beside what
// routers do without them.
#include <map>

#include "al_gateway/al_gateway.h"
#include "platform/contract_codec.h"
#include "support/admission_play.h"
#include "support/gateway_fixture.h"
#include "support/place_play.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = AdmissionDecision::Action;
using Policy = AdmissionPlay::Policy;
using Play = std::unique_ptr<AdmissionPlay>;

constexpr Instant kStart = Instant(seconds(1'000));

auto PlayWith(AdmissionPlay::Settings settings, Policy policy, int routers)
    -> Play {
  settings.policy = policy;
  settings.routers = routers;
  auto play = std::make_unique<AdmissionPlay>(std::move(settings));
  play->Run();
  return play;
}

auto LatePart(const AdmissionPlay::Tally& tally) -> double {
  return static_cast<double>(tally.late) / tally.requests;
}

/** A query that is in time. */
auto MakeQuery(std::string_view kind, std::string_view team, int priority)
    -> AdmissionQuery {
  AdmissionQuery query;
  query.service = "engines";
  query.kind = kind;
  query.team = team;
  query.priority = priority;
  query.objective = milliseconds(500);
  query.expected = milliseconds(100);
  query.size = 100;
  return query;
}

auto IsBegun(const AdmissionDecision& decision) -> int {
  return decision.action == Action::kBegin ? 1 : 0;
}

/** Reports late first events until a good part of the requests is refused. */
auto PutUnderPressure(PressureAdmission& admission, Instant& now) -> void {
  while (admission.ShedFraction("engines", now) < 0.5) {
    now += milliseconds(20);
    admission.RecordOverdue(MakeQuery("urgent", "t", 0), now);
  }
}

}  // namespace

TEST_GROUP(Admission) {
  Instant now = kStart;
  PressureAdmission admission;
};

// Load: a kind of low urgency at 2.5 times its usual before 60 engines, with 8
// and 78 routers. Without admission it fills the engines: urgent requests
// come late, and a third of all requests takes engine time without use.
TEST(Admission, CrowdOfALeastUrgentKindGivesWay) {
  for (const int routers : {8, 78}) {
    const auto settings = AdmissionPlay::CrowdSettings(2.5);
    const Play without = PlayWith(settings, Policy::kAll, routers);
    const Play random = PlayWith(settings, Policy::kRandom, routers);
    const Play equal = PlayWith(settings, Policy::kEqualShares, routers);
    const Play with = PlayWith(settings, Policy::kPressure, routers);
    const double urgent = with->OfKind("chat").ServedInTime();
    CHECK(urgent > without->OfKind("chat").ServedInTime());
    CHECK(urgent > equal->OfKind("chat").ServedInTime());
    CHECK(with->All().ServedInTime() > 0.95 * without->All().ServedInTime());
    CHECK(LatePart(with->All()) < 0.7 * LatePart(without->All()));
    CHECK(LatePart(with->All()) < LatePart(random->All()));
    for (const char* const kind : {"chat", "draft", "batch"}) {
      CHECK(with->OfKind(kind).ServedInTime() >
            0.25 * with->All().ServedInTime());
    }
  }
}

// Load: as usual. Admission refuses requests although nothing is scarce.
TEST(Admission, UsualLoadIsServedAsWithoutAdmission) {
  constexpr int kRouters = 78;
  const auto settings = AdmissionPlay::CrowdSettings(1.0);
  const Play without = PlayWith(settings, Policy::kAll, kRouters);
  const Play with = PlayWith(settings, Policy::kPressure, kRouters);
  CHECK(with->All().ServedInTime() > 0.97 * without->All().ServedInTime());
  CHECK(with->All().refused < 0.02 * with->All().requests);
}

// Load: one of 20 teams at 7.5 times its usual. Without shares the other teams
// lose as much as this one; with equal parts that are not passed on, it is
// starved although others leave room.
TEST(Admission, TeamFarAboveItsUsualLeavesOthersTheirShares) {
  constexpr int kRouters = 78;
  auto settings = AdmissionPlay::CrowdSettings(1.0);
  settings.first_team_factor = 7.5;
  const Play without = PlayWith(settings, Policy::kAll, kRouters);
  const Play equal = PlayWith(settings, Policy::kEqualShares, kRouters);
  const Play with = PlayWith(settings, Policy::kPressure, kRouters);
  const double others = with->OfTeamsExcept(0).ServedInTime();
  CHECK(others > 1.02 * without->OfTeamsExcept(0).ServedInTime());
  CHECK(others > with->OfTeam(0).ServedInTime());
  CHECK(with->OfTeam(0).ServedInTime() > 0.25 * with->All().ServedInTime());
  CHECK(with->OfTeam(0).ServedInTime() > equal->OfTeam(0).ServedInTime());
}

// Load: the crowd, and one team's callers repeat 20 ms after each refusal, up
// to 30 times. With a draw for each repeat they are served more often than
// callers that wait as told.
TEST(Admission, CallersThatRepeatAtOnceDoNotGain) {
  constexpr int kRouters = 78;
  auto settings = AdmissionPlay::CrowdSettings(2.5);
  settings.repeating_team = 0;
  const Play with = PlayWith(settings, Policy::kPressure, kRouters);
  CHECK(with->OfTeam(0).ServedInTime() <
        1.05 * with->OfTeamsExcept(0).ServedInTime());
  CHECK(with->OfTeam(0).ServedInTime() > 0.25 * with->All().ServedInTime());
}

// Load: the crowd, of whose requests a tenth has prompts eight times as long.
// Refusals by the expected time hit long prompts first.
TEST(Admission, LargeRequestsAreServedHalfAsOftenAsTheirKind) {
  constexpr int kRouters = 78;
  const Play with =
      PlayWith(AdmissionPlay::CrowdSettings(2.5), Policy::kPressure, kRouters);
  for (const char* const kind : {"chat", "draft", "batch"}) {
    CHECK(with->OfLarge(kind).ServedInTime() >
          0.5 * with->OfKind(kind).ServedInTime());
  }
}

// Load: one request in ten needs so much of its prompt processed that it is
// expected to be a little late. Decided by the expected time alone, none of
// them is ever begun.
TEST(Admission, LargeRequestsThatAreExpectedLateAreNotStarved) {
  int large = 0;
  int all = 0;
  for (int number = 0; number < 1'000; ++number) {
    this->now += milliseconds(20);
    const bool is_large = number % 10 == 0;
    AdmissionQuery query = MakeQuery("k", "t", 5);
    query.size = is_large ? 10'000 : 100;
    query.expected = milliseconds(is_large ? 800 : 100);
    const int begun = IsBegun(this->admission.Decide(query, this->now));
    all += begun;
    large += is_large ? begun : 0;
    if (begun > 0 && !is_large) {
      this->admission.RecordFirstEvent(query, milliseconds(100), false,
                                       this->now);
    }
  }
  CHECK(large / 100.0 >= 0.5 * all / 1'000.0);
  CHECK(all - large > 800);
}

// Load: engines whose queue is longer than any objective. Generations that
// begin too late take the place of others; callers hear of it only at their
// deadline.
TEST(Admission, RequestThatWouldBeginTooLateIsRefusedWithATime) {
  AdmissionQuery query = MakeQuery("k", "t", 3);
  query.expected = seconds(2);
  const AdmissionDecision decision = this->admission.Decide(query, this->now);
  CHECK(decision.action == Action::kRefuse);
  CHECK(decision.retry_after >= milliseconds(1'500));
  query.expected = milliseconds(500);
  CHECK(this->admission.Decide(query, this->now).action == Action::kBegin);
}

// Load: callers refused in the same moment. With one Retry-After they return as
// one crowd.
TEST(Admission, RetryAfterIsSpreadOverCallers) {
  AdmissionQuery query = MakeQuery("k", "t", 3);
  query.expected = seconds(2);
  const Duration first = this->admission.Decide(query, this->now).retry_after;
  query.spread = 0.99;
  const Duration last = this->admission.Decide(query, this->now).retry_after;
  CHECK(last > first + first / 3);
}

// Load: engines where all first events are late. Urgent requests wait behind,
// or give way as often as, less urgent ones.
TEST(Admission, UnderPressureLessUrgentRequestsGiveWayFirst) {
  std::map<std::string, int> begun;
  PutUnderPressure(this->admission, this->now);
  for (int number = 0; number < 200; ++number) {
    this->now += milliseconds(2);
    // So many first events in time that the refused fraction stays.
    for (int event = 0; event < 4; ++event) {
      this->admission.RecordFirstEvent(MakeQuery("urgent", "t", 0),
                                       milliseconds(100), false, this->now);
    }
    for (const auto& [kind, priority] :
         {std::pair("urgent", 0), std::pair("patient", 8)}) {
      const std::string team = "team " + std::to_string(number % 20);
      begun[kind] +=
          this->admission.Decide(MakeQuery(kind, team, priority), this->now)
                      .action == Action::kBegin
              ? 1
              : 0;
    }
  }
  CHECK(begun["urgent"] > 150);
  CHECK(begun["patient"] < begun["urgent"] / 2);
  // At least a quarter as often as both together.
  CHECK(8 * begun["patient"] >= begun["urgent"] + begun["patient"]);
}

// Load: an end of the pressure. A refused fraction that stays keeps refusing
// what could be served.
TEST(Admission, PressureEndsWhenFirstEventsAreInTime) {
  PutUnderPressure(this->admission, this->now);
  for (int number = 0; number < 300; ++number) {
    this->now += milliseconds(20);
    this->admission.RecordFirstEvent(MakeQuery("urgent", "t", 0),
                                     milliseconds(100), false, this->now);
  }
  DOUBLES_EQUAL(0.0, this->admission.ShedFraction("engines", this->now), 0.01);
}

// Load: a refused request that comes back after its time, beside new ones of
// the same kind. If it counts as new, it is refused again as often as they are.
TEST(Admission, ReturnedRequestGoesBeforeNewOnes) {
  AdmissionQuery query = MakeQuery("k", "t", 5);
  query.waited = milliseconds(200);  // It can't wait here any longer.
  std::vector<std::uint64_t> refused;
  PutUnderPressure(this->admission, this->now);
  for (std::uint64_t number = 1; refused.size() < 50; ++number) {
    this->now += microseconds(100);
    query.identity = number;
    if (this->admission.Decide(query, this->now).action == Action::kRefuse) {
      refused.push_back(number);
    }
  }
  this->now += seconds(8);
  PutUnderPressure(this->admission, this->now);
  int returned = 0;
  int new_ones = 0;
  for (const std::uint64_t number : refused) {
    this->now += microseconds(100);
    query.identity = number;
    returned += IsBegun(this->admission.Decide(query, this->now));
    query.identity = 1'000'000 + number;
    new_ones += IsBegun(this->admission.Decide(query, this->now));
  }
  CHECK(returned > 2 * new_ones);
}

TEST_GROUP(TeamShares) {
  Instant now = kStart;
  TeamShares shares;
};

// Load: one team asks ten times as much as three others. An equal part for each
// wastes what the small ones leave.
TEST(TeamShares, UnusedSharesGoToOthers) {
  for (int number = 0; number < 1'000; ++number) {
    this->now += milliseconds(10);
    this->shares.RecordDemand("big", 10.0, 1.0, this->now);
    for (const char* const team : {"a", "b", "c"}) {
      this->shares.RecordDemand(team, 1.0, 1.0, this->now);
    }
    this->shares.RecordBegun("big", 8.0, this->now);
  }
  const TeamShares::Share big = this->shares.ShareOf("big", 1.0, this->now);
  // The capacity is 800 a second, of which the others ask for 300.
  CHECK(big.per_second > 300.0);
  CHECK(big.per_second < 600.0);
  CHECK(this->shares.ShareOf("a", 1.0, this->now).is_within);
}

// Load: a team that begins its share of one second at once, and goes on.
// Without a burst it waits for no reason; without an end it takes the others'
// shares.
TEST(TeamShares, BurstOfOneSecondIsAllowedAndNoMore) {
  for (int number = 0; number < 1'000; ++number) {
    this->now += milliseconds(10);
    this->shares.RecordDemand("a", 2.0, 1.0, this->now);
    this->shares.RecordDemand("b", 2.0, 1.0, this->now);
    this->shares.RecordBegun("b", 1.0, this->now);
  }
  const double share = this->shares.ShareOf("a", 1.0, this->now).per_second;
  int begun = 0;
  while (this->shares.ShareOf("a", 1.0, this->now).is_within && begun < 1'000) {
    this->shares.RecordBegun("a", 1.0, this->now);
    ++begun;
  }
  CHECK(begun >= share - 1);
  CHECK(begun <= share + 2);
  this->now += milliseconds(100);
  CHECK(this->shares.ShareOf("a", 1.0, this->now).is_within);
}

TEST_GROUP(PlaceQueues) {
  Instant now = kStart;
  PlaceQueue queue;

  TEST_SETUP() {
    this->queue.SetMaximum(2);
  }

  auto Ask(const std::string& team, int priority, Duration objective)
      ->PlaceQueue::Answer {
    return this->queue.Ask({team, priority, this->now, objective}, this->now);
  }
  auto Release(PlaceQueue::Result result)->void {
    this->queue.Release(result, {"t", 5, this->now, seconds(1)},
                        this->now - milliseconds(50), this->now);
  }
};

// Load: more requests than places. Without an order, requests of a later
// deadline or a lower urgency go first, and urgent ones end as refused.
TEST(PlaceQueues, MostUrgentThenEarliestDeadlineGoesFirst) {
  CHECK(this->Ask("a", 5, seconds(1)).begins);
  CHECK(this->Ask("a", 5, seconds(1)).begins);
  const auto patient = this->Ask("a", 5, seconds(3));
  const auto hurried = this->Ask("b", 5, seconds(1));
  const auto urgent = this->Ask("c", 0, seconds(2));
  CHECK_FALSE(this->queue.TakeNext(this->now).has_value());
  for (const auto& answer : {urgent, hurried, patient}) {
    this->Release(PlaceQueue::Result::kAnswered);
    const auto next = this->queue.TakeNext(this->now);
    CHECK(next.has_value());
    CHECK_EQUAL(answer.ticket, *next);
  }
}

// Load: upstreams that answer nothing. A request that can't begin in time stays
// queued until its caller's deadline.
TEST(PlaceQueues, RequestThatCannotBeginInTimeExpires) {
  (void)this->Ask("a", 5, seconds(1));
  (void)this->Ask("a", 5, seconds(1));
  const auto answer = this->Ask("a", 5, milliseconds(300));
  CHECK(answer.ticket != 0);
  this->now += milliseconds(300);
  CHECK(this->queue.TakeExpired(this->now).empty());
  this->now += milliseconds(100);
  const auto expired = this->queue.TakeExpired(this->now);
  CHECK_EQUAL(1U, expired.size());
  CHECK_EQUAL(answer.ticket, expired.front());
}

// Load: a queue longer than what is answered within the objective. Requests
// that can't be served in time wait for nothing.
TEST(PlaceQueues, RequestThatWouldBeLateIsToldAtOnce) {
  (void)this->Ask("a", 5, seconds(1));
  (void)this->Ask("a", 5, seconds(1));
  this->Release(PlaceQueue::Result::kAnswered);
  (void)this->Ask("a", 5, seconds(1));
  // Two places of 50 ms each: 40 a second.
  int waiting = 0;
  PlaceQueue::Answer answer;
  do {
    answer = this->Ask("a", 5, milliseconds(400));
    ++waiting;
  } while (answer.ticket != 0 && waiting < 100);
  CHECK(waiting > 10);
  CHECK(waiting < 30);
  CHECK(answer.retry_after > milliseconds(300));
}

// Load: an upstream that refuses requests as full. A router that goes on with
// as many gets one refusal after another; one that never tries again starves.
TEST(PlaceQueues, RefusalLimitsPlacesForAMoment) {
  this->queue.SetMaximum(10);
  for (int number = 0; number < 10; ++number) {
    CHECK(this->Ask("a", 5, seconds(1)).begins);
  }
  this->Release(PlaceQueue::Result::kFull);
  CHECK(this->queue.PlacesAt(this->now) < 10);
  CHECK_FALSE(this->Ask("a", 5, seconds(1)).begins);
  this->now += seconds(1);
  CHECK_EQUAL(10, this->queue.PlacesAt(this->now));
}

// Load: a plain service of 3 upstreams with 6 slots before 78 routers, of which
// 3 have half of the requests, in bursts that the service answers within the
// objective. Without a queue, callers are refused while slots become free.
TEST(PlaceQueues, BurstsAtThreeOfManyRoutersAreServedInTime) {
  PlacePlay::Tally at_once;
  PlacePlay::Tally queued;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    PlacePlay::Settings settings;
    settings.burst = 6.0;
    settings.seed = seed;
    settings.policy = PlacePlay::Policy::kAtOnce;
    PlacePlay without(settings);
    without.Run();
    at_once += without.tally();
    settings.policy = PlacePlay::Policy::kPlaceQueue;
    PlacePlay with(settings);
    with.Run();
    queued += with.tally();
  }
  CHECK(queued.refused_tries < 0.7 * at_once.refused_tries);
  CHECK(queued.refused_upstream < at_once.refused_upstream);
  CHECK(queued.in_time > 0.99 * queued.requests);
  CHECK(queued.refused < queued.requests / 1'000);
}

// Load: routers with old views of their demand. A share by demand alone lets
// the sum exceed what an upstream accepts.
TEST(PlaceQueues, ConnectionsStayWithinTheLimitWhenViewsDiffer) {
  constexpr int kMost = 530;
  for (const int routers : {8, 78, 195, 420}) {
    for (const double view : {1.0, 1.5, 2.5}) {
      // Three routers have half of the requests; each takes its demand for
      // `view` times what it is.
      const double busy = routers / 6.0;
      const double other = 0.5 * routers / (routers - 3);
      const int sum =
          3 * ConnectionShare(kMost, routers, busy * view) +
          (routers - 3) * ConnectionShare(kMost, routers, other * view);
      // At 420 the least share of one connection is more than the equal part.
      const bool is_rounded_up = routers == 420 && view > 1.5;
      CHECK(sum <= (is_rounded_up ? kMost * 11 / 10 : kMost));
    }
    CHECK(ConnectionShare(kMost, routers, routers / 6.0) >
              2 * ConnectionShare(kMost, routers, 1.0) ||
          routers == 8);
  }
}

// A deployment's list of contracts that is read wrongly turns admission on or
// off where it should not be.
TEST(Admission, ContractsThatRequireIt) {
  CHECK(platform::RequiresAdmission("pressure"));
  CHECK(platform::RequiresAdmission("other, pressure ,more"));
  CHECK_FALSE(platform::RequiresAdmission(""));
  CHECK_FALSE(platform::RequiresAdmission("pressures,no pressure"));
  CHECK_FALSE(platform::RequiresAdmission(",,"));
}

/** Two plain services and two engines before a router with admission. */
TEST_GROUP(AdmissionSessions) {
  GatewayFixture fixture{seconds(8), true};
  std::vector<std::shared_ptr<Http1ClientConnection>> connections;

  TEST_SETUP() {
    this->fixture.Publish(1, 1'000'000);
  }

  auto SetFaults(standins::WireUpstream::Fault fault)->void {
    this->fixture.service_1->SetFault(fault);
    this->fixture.service_2->SetFault(fault);
  }

  /** Sends as many requests as the router uses connections to two upstreams,
     of which 100 are allowed for each: 0.7 of them, as it is alone. */
  auto TakeAllPlaces()->void {
    constexpr int kPlaces = 140;
    for (int number = 0; number < kPlaces; ++number) {
      GatewayFixture::Call call;
      call.id = "takes-" + std::to_string(number);
      this->connections.push_back(this->fixture.Connect());
      (void)this->fixture.StartSendingOn(this->connections.back(), call);
    }
    this->fixture.RunFor(milliseconds(200));
    CHECK_EQUAL(std::size_t{kPlaces},
                this->fixture.service_1->executions().size() +
                    this->fixture.service_2->executions().size());
  }

  auto Metrics()->std::string {
    return this->fixture
        .Get(GatewayFixture::AddressOf(1, "metrics"), "/metrics")
        .body;
  }
};

// Load: calm. Admission changes a response, or loses a request.
TEST(AdmissionSessions, CalmRequestsBeginAtOnce) {
  GatewayFixture::Call plain;
  plain.id = "plain";
  CHECK_EQUAL(200, this->fixture.Send(plain).status);
  GatewayFixture::Call generation;
  generation.id = "generation";
  generation.path = "/ask/";
  generation.tokens = "20,20";
  const auto response = this->fixture.Send(generation);
  CHECK_EQUAL(200, response.status);
  CHECK(response.complete);
  STRCMP_CONTAINS("auburnloft_admissions_total{decision=\"begin\"} 2",
                  this->Metrics().c_str());
}

// Load: all upstreams of a plain service are full for a moment. The caller gets
// 503 from one upstream after another although a place becomes free in time.
TEST(AdmissionSessions, RequestWaitsForAPlaceAtFullUpstreams) {
  this->SetFaults(standins::WireUpstream::Fault::kFull);
  GatewayFixture::Call call;
  call.id = "waits";
  const auto response = this->fixture.StartSending(call);
  this->fixture.RunFor(milliseconds(15));
  CHECK_EQUAL(0, response->status);
  this->SetFaults(standins::WireUpstream::Fault::kNone);
  this->fixture.RunFor(milliseconds(300));
  CHECK_EQUAL(200, response->status);
  CHECK_EQUAL(1U, this->fixture.service_1->executions().size() +
                      this->fixture.service_2->executions().size());
}

// Load: all places of a plain service are taken for longer than an objective. A
// request that waits beyond its objective, or is executed after it was refused,
// breaks the promise of 503.
TEST(AdmissionSessions, RequestWithoutAPlaceInTimeIsRefusedAndNotExecuted) {
  this->SetFaults(standins::WireUpstream::Fault::kSilent);
  this->TakeAllPlaces();
  GatewayFixture::Call call;
  call.id = "refused";
  const auto response = this->fixture.StartSending(call);
  this->fixture.RunFor(milliseconds(700));
  CHECK_EQUAL(503, response->status);
  CHECK_FALSE(response->retry_after.empty());
  for (const auto* const service :
       {&this->fixture.service_1, &this->fixture.service_2}) {
    for (const std::string& id : (*service)->executions()) {
      CHECK(id != "refused");
    }
  }
}

// Load: callers that take all places and leave. A place that is not given back
// is lost to all later requests.
TEST(AdmissionSessions, CallerThatLeavesGivesItsPlaceBack) {
  this->SetFaults(standins::WireUpstream::Fault::kSilent);
  this->TakeAllPlaces();
  for (const auto& connection : this->connections) {
    connection->Close();
  }
  this->SetFaults(standins::WireUpstream::Fault::kNone);
  this->fixture.RunFor(milliseconds(100));
  GatewayFixture::Call call;
  call.id = "stays";
  CHECK_EQUAL(200, this->fixture.Send(call).status);
}

// The setting is off. Decisions that are consulted all the same change how
// fleets are served that did not ask for it.
TEST(Admission, IsNotConsultedWhenOff) {
  GatewayFixture fixture;
  fixture.Publish(1, 1'000'000);
  for (const auto& service : {&fixture.service_1, &fixture.service_2}) {
    (*service)->SetFault(standins::WireUpstream::Fault::kFull);
  }
  GatewayFixture::Call call;
  call.id = "full";
  const auto response = fixture.StartSending(call);
  fixture.RunFor(milliseconds(100));
  CHECK_EQUAL(503, response->status);
  const std::string metrics =
      fixture.Get(GatewayFixture::AddressOf(1, "metrics"), "/metrics").body;
  STRCMP_CONTAINS("auburnloft_requests_total", metrics.c_str());
  CHECK(metrics.find("admission") == std::string::npos);
}

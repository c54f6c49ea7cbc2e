// The soak test's checker reports each kind of violation that it looks for.
#include <algorithm>
#include <set>

#include "soak/soak_check.h"
#include "support/test_harness.h"

using namespace auburnloft::soak;  // NOLINT(google-build-using-namespace)

namespace {

constexpr RequestKind kOnce{"/payouts/", false, true};
constexpr RequestKind kStream{"/summaries/", true, true};
constexpr RequestKind kResumable{"/questions/", true, false};

auto MakeAttempt(const std::string& id, const RequestKind& kind, int status)
    -> RequestResult {
  RequestResult result;
  result.id = id;
  result.kind = &kind;
  result.team = "blue";
  result.prompt_tokens = 100;
  result.status = status;
  result.is_complete = true;
  return result;
}

auto MakeStream(const std::string& id, const std::set<std::string>& releases)
    -> RequestResult {
  RequestResult result = MakeAttempt(id, kResumable, 200);
  result.was_sent = true;
  result.releases = releases;
  result.events = releases.empty() ? 0 : 4;
  return result;
}

/** Returns the result of a request that takes up the stream `resumes`. */
auto MakeTakeUp(const std::string& id,
                const std::string& resumes,
                const std::set<std::string>& releases) -> RequestResult {
  RequestResult result = MakeStream(id, releases);
  result.resumes = resumes;
  return result;
}

}  // namespace

TEST_GROUP(SoakCheck) {
  std::vector<RequestResult> results{MakeAttempt("a", kOnce, 200)};
  std::vector<UpstreamExecution> executions{{1'000, "u1", "a"}};
  SoakEvents events;

  auto Report()->SoakReport {
    return Check(this->results, this->executions, this->events);
  }
};

TEST(SoakCheck, PassesWithoutViolations) {
  const SoakReport report = this->Report();
  CHECK_FALSE(report.has_violation());
  CHECK_EQUAL(1U, report.complete_responses);
}

TEST(SoakCheck, FindsASecondExecution) {
  this->executions.push_back({1'100, "u2", "a"});
  CHECK_EQUAL(1U, this->Report().double_executions);
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsAnExecutionAfterARefusal) {
  this->results.push_back(MakeAttempt("b", kOnce, 503));
  CHECK_FALSE(this->Report().has_violation());
  this->executions.push_back({1'200, "u1", "b"});
  CHECK_EQUAL(1U, this->Report().executed_after_refusal);
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsTokensBeyondTheBudget) {
  this->results.push_back(MakeAttempt("s", kStream, 200));
  this->results.back().events = 8;
  this->executions.push_back({1'200, "u1", "s"});
  this->events.prepaid["blue"] = 140;
  CHECK_FALSE(this->Report().has_violation());
  this->events.prepaid["blue"] = 139;
  CHECK_EQUAL(1U, this->Report().overspend_tokens);
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsARequestThatBeginsAtAnUpstreamThatLeft) {
  this->events = ReadEvents("prepaid blue 500\nleft u1 1000\n");
  CHECK_FALSE(this->Report().has_violation());
  this->executions = ReadExecutions("9000 u1 a\n");
  CHECK_EQUAL(1U, this->Report().started_after_leaving);
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsATruncatedResponseIfOnlyPlannedWorkWasDone) {
  this->results.push_back(MakeAttempt("s", kStream, 200));
  this->results.back().is_complete = false;
  CHECK_FALSE(this->Report().has_violation());
  this->events = ReadEvents("planned\n");
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsAnExecutionWithoutAResponseIfOnlyPlannedWorkWasDone) {
  this->events = ReadEvents("planned\n");
  this->results[0].is_complete = false;
  this->results[0].status = 0;
  CHECK_EQUAL(1U, this->Report().interrupted);
  this->executions.clear();  // Sent as the router closed: not forwarded.
  CHECK_EQUAL(0U, this->Report().interrupted);
}

TEST(SoakCheck, FailsIfNothingWasServed) {
  this->results = {MakeAttempt("a", kOnce, 503)};
  this->executions.clear();
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, FindsADeadlyRequestThatIsSentTooOften) {
  for (int number = 0; number < 7; ++number) {
    const std::string id = "deadly-" + std::to_string(number);
    this->results.push_back(MakeAttempt(id, kOnce, 502));
    this->results.back().is_deadly = true;
    // Three at once, and then one each four seconds.
    this->executions.push_back(
        {1'000 + 4'000 * std::max(0, number - 2), "u1", id});
  }
  CHECK_EQUAL(7U, this->Report().deadly_executions);
  CHECK_EQUAL(1U, this->Report().deadly_over_bound);
  CHECK_TRUE(this->Report().has_violation());
  this->executions.pop_back();
  CHECK_FALSE(this->Report().has_violation());
}

// Guards against a stream of two releases in one response that goes unseen.
TEST(SoakCheck, FindsStreamsOfSeveralReleasesInOneResponse) {
  for (const std::string id : {"s1", "s2"}) {
    this->results.push_back(MakeStream(id, {"v1", "v2"}));
  }
  this->results.push_back(MakeStream("s3", {"v1"}));
  CHECK_EQUAL(2U, this->Report().mixed_releases);
  CHECK_FALSE(this->Report().has_violation());
  this->results.back().releases.insert("v2");
  CHECK_EQUAL(3U, this->Report().mixed_releases);
  CHECK_TRUE(this->Report().has_violation());
}

// Guards against a stream whose parts only differ between requests, also if
// the second of three brought nothing.
TEST(SoakCheck, FindsStreamsOfSeveralReleasesOverSeveralRequests) {
  for (const std::string id : {"s1", "s2", "s3"}) {
    this->results.push_back(MakeStream(id, {"v1"}));
    this->results.push_back(MakeTakeUp(id + "-again", id, {}));
    this->results.push_back(MakeTakeUp(id + "-more", id, {"v1"}));
  }
  CHECK_EQUAL(0U, this->Report().mixed_releases);
  for (RequestResult& result : this->results) {
    if (result.id.ends_with("-more")) {
      result.releases = {"v2"};
    }
  }
  CHECK_EQUAL(3U, this->Report().mixed_releases);
  CHECK_TRUE(this->Report().has_violation());
}

// Guards against a count of requests in place of streams, and of take-ups that
// brought nothing as ones that went on.
TEST(SoakCheck, CountsStreamsThatAreTakenUp) {
  this->results.push_back(MakeStream("s1", {"v1"}));
  this->results.push_back(MakeTakeUp("a1", "s1", {}));
  this->results.push_back(MakeTakeUp("a2", "s1", {"v1"}));
  this->results.push_back(MakeStream("s2", {"v1"}));
  this->results.push_back(MakeTakeUp("a3", "s2", {}));
  this->results.push_back(MakeStream("s3", {"v1"}));
  this->results.push_back(MakeTakeUp("a4", "s3", {}));
  this->results.back().was_sent = false;
  const SoakReport report = this->Report();
  CHECK_EQUAL(2U, report.taken_up);
  CHECK_EQUAL(1U, report.went_on);
  CHECK_FALSE(report.has_violation());
}

// Guards against events of a stream that is taken up which are not counted.
TEST(SoakCheck, FindsRestartsThatLoseStreams) {
  for (int i = 0; i < 12; ++i) {
    const std::string id = "s" + std::to_string(i);
    this->results.push_back(MakeStream(id, {"v1"}));
    this->results.push_back(MakeTakeUp(
        id + "b", id,
        i < 6 ? std::set<std::string>{"v1"} : std::set<std::string>{}));
  }
  CHECK_FALSE(this->Report().has_violation());
  this->events.only_restarts = true;
  CHECK_FALSE(this->Report().has_violation());
  this->results.push_back(MakeStream("s12", {"v1"}));
  this->results.push_back(MakeTakeUp("s12b", "s12", {}));
  CHECK_TRUE(this->Report().has_violation());
}

TEST(SoakCheck, CountsWhatATakenUpStreamUses) {
  this->results.push_back(MakeStream("s1", {"v1"}));
  this->results.push_back(MakeTakeUp("a1", "s1", {"v1"}));
  this->executions.push_back({1'200, "u1", "s1"});
  this->executions.push_back({1'300, "u1", "a1"});
  this->events.prepaid["blue"] = 240;
  CHECK_EQUAL(0U, this->Report().overspend_tokens);
  this->events.prepaid["blue"] = 239;
  CHECK_EQUAL(1U, this->Report().overspend_tokens);
}

// Guards against lost requests on kept connections that go unseen, and against
// a bound in runs with faults, where routers are killed.
TEST(SoakCheck, FindsRequestsOnKeptConnectionsWithoutAResponse) {
  this->events.only_planned_work = true;
  for (const std::string id : {"k1", "k2", "k3", "k4"}) {
    RequestResult result = MakeAttempt(id, kOnce, 0);
    result.is_complete = false;
    result.was_sent = true;
    result.on_kept_connection = true;
    this->results.push_back(result);
  }
  CHECK_EQUAL(4U, this->Report().unanswered_on_kept);
  CHECK_TRUE(this->Report().has_violation());
  this->results.back().on_kept_connection = false;
  CHECK_EQUAL(3U, this->Report().unanswered_on_kept);
  CHECK_FALSE(this->Report().has_violation());
  this->results.back().on_kept_connection = true;
  this->events.only_planned_work = false;
  CHECK_EQUAL(0U, this->Report().unanswered_on_kept);
  CHECK_FALSE(this->Report().has_violation());
}

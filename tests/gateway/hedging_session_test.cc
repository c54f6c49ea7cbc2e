// Second attempts of late requests, over real sockets, with upstreams that
// answer when a test says so. The routes of the fixture's configuration have an
// objective of 300 ms, so that an attempt is late after 150 ms, and allow two
// attempts.
#include <algorithm>
#include <charconv>

#include "platform/wire_names.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Arrival = RawUpstream::Arrival;

/** Until a second attempt has been sent; less than the 450 ms after which the
   first one is replaced. */
constexpr Duration kUntilHedged = milliseconds(250);

/** A share with which each late request has a second attempt. */
constexpr double kAll = 1.0;

auto Refusal(const std::string& id) -> std::string {
  return "HTTP/1.1 503 Full\r\n" + std::string(platform::kAttemptIdHeader) +
         ": " + id + "\r\n" + std::string(platform::kNotExecutedHeader) +
         ": 1\r\nContent-Length: 0\r\n\r\n";
}

auto Event(int number) -> std::string {
  return "id: " + std::to_string(number) + "\ndata: event " +
         std::to_string(number) + "\n\n";
}

auto StreamHead(const std::string& id) -> std::string {
  return RawUpstream::Head(id, "Content-Type: text/event-stream\r\n");
}

}  // namespace

TEST_GROUP(HedgedSessions) {
  GatewayFixture fixture{seconds(8), false, kAll};
  RawUpstream desk_1{this->fixture.poller, "raw-1"};
  RawUpstream desk_2{this->fixture.poller, "raw-2"};
  RawUpstream engine_1{this->fixture.poller, "raw-3"};
  RawUpstream engine_2{this->fixture.poller, "raw-4"};
  std::vector<Arrival> arrivals;
  std::vector<RawUpstream*> upstreams;  ///< Of the arrivals.
  int calls = 0;

  TEST_SETUP() {
    for (const auto* const upstream :
         {&this->fixture.service_1, &this->fixture.service_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "desks", true);
    }
    for (const auto* const upstream :
         {&this->fixture.engine_1, &this->fixture.engine_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "engines", true);
    }
    this->List("raw-1", this->desk_1, "desks");
    this->List("raw-2", this->desk_2, "desks");
    this->List("raw-3", this->engine_1, "engines");
    this->List("raw-4", this->engine_2, "engines");
    this->fixture.Publish(1, 1'000);
  }

  auto List(const std::string& id, RawUpstream& upstream,
            std::string_view service)
      ->void {
    this->fixture.store.Put("keyed.servers", id, upstream.Entry(service));
    upstream.SetScript([this, &upstream](const Arrival& arrival) {
      this->arrivals.push_back(arrival);
      this->upstreams.push_back(&upstream);
    });
  }

  auto MakeCall(const std::string& path)->GatewayFixture::Call {
    GatewayFixture::Call call;
    call.id = "a" + std::to_string(++this->calls);
    call.path = path;
    if (path == "/draft/" || path == "/ask/") {
      call.tokens = "480,20";
    }
    return call;
  }

  /** Sends a request, and waits until its second attempt has been sent, if it
     gets one. */
  auto Begin(const std::string& path)
      ->std::shared_ptr<GatewayFixture::Response> {
    this->arrivals.clear();
    this->upstreams.clear();
    auto response = this->fixture.StartSending(this->MakeCall(path));
    this->fixture.RunFor(kUntilHedged);
    return response;
  }

  auto Settle()->void {
    this->fixture.RunFor(milliseconds(60));
  }
};

// One upstream does not answer. Guards against a caller that waits for it
// although another one has answered, and against an upstream that goes on to
// work for nobody.
TEST(HedgedSessions, TheFirstWholeResponseWins) {
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(2, this->arrivals.size());
  this->arrivals[1].send(RawUpstream::Whole(this->arrivals[1].id, "second"));
  this->Settle();
  CHECK_TRUE(response->complete);
  CHECK_EQUAL(std::string("second"), response->body);
  CHECK_EQUAL(0, this->upstreams[0]->open_connections());
  CHECK_EQUAL(1, this->upstreams[1]->open_connections());
}

// The first upstream is late and answers before the second. Guards against a
// second attempt that goes on, and against a response of both.
TEST(HedgedSessions, TheSecondIsCancelledIfTheFirstAnswers) {
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(2, this->arrivals.size());
  this->arrivals[0].send(RawUpstream::Whole(this->arrivals[0].id, "first"));
  this->Settle();
  CHECK_TRUE(response->complete);
  CHECK_EQUAL(std::string("first"), response->body);
  CHECK_EQUAL(1, this->upstreams[0]->open_connections());
  CHECK_EQUAL(0, this->upstreams[1]->open_connections());
}

// The first upstream stops within its first event. Guards against a stream that
// is joined from parts of two executions.
TEST(HedgedSessions, AStreamIsOfOneExecution) {
  const auto response = this->Begin("/ask/");
  CHECK_EQUAL(2, this->arrivals.size());
  const std::string id = this->arrivals[0].id;
  this->arrivals[0].send(StreamHead(id) + "id: 1\ndata: from the f");
  this->Settle();
  this->arrivals[1].send(StreamHead(id) + "id: 1\ndata: fr");
  this->Settle();
  CHECK_EQUAL(std::string(), response->body);
  CHECK_EQUAL(1, this->upstreams[0]->open_connections());
  this->arrivals[1].send("om the second\n\n");
  this->Settle();
  CHECK_EQUAL(0, this->upstreams[0]->open_connections());
  this->arrivals[1].send(Event(2));
  this->arrivals[1].close();
  this->Settle();
  CHECK_EQUAL(200, response->status);
  CHECK_TRUE(response->complete);
  CHECK_EQUAL("id: 1\ndata: from the second\n\n" + Event(2), response->body);
}

// The first upstream sends its first event after the second attempt was sent.
// Guards against a stream whose later events come from the other execution.
TEST(HedgedSessions, AStreamThatHasBegunCancelsTheSecond) {
  const auto response = this->Begin("/ask/");
  CHECK_EQUAL(2, this->arrivals.size());
  this->arrivals[0].send(StreamHead(this->arrivals[0].id) + Event(1));
  this->Settle();
  CHECK_EQUAL(0, this->upstreams[1]->open_connections());
  this->arrivals[0].send(Event(2));
  this->arrivals[0].close();
  this->Settle();
  CHECK_TRUE(response->complete);
  CHECK_EQUAL(Event(1) + Event(2), response->body);
}

// Two hedged generations of 500 tokens at a budget of 1,000. Guards against
// tokens that are reserved or billed for both executions.
TEST(HedgedSessions, AStreamIsBilledOnce) {
  for (int i = 0; i < 2; ++i) {
    const auto response = this->Begin("/ask/");
    CHECK_EQUAL(2, this->arrivals.size());
    this->arrivals[1].send(StreamHead(this->arrivals[1].id) + Event(1) +
                           Event(2) + Event(3) + Event(4));
    this->arrivals[1].close();
    this->Settle();
    CHECK_EQUAL(200, response->status);
    CHECK_TRUE(response->complete);
  }
  const auto response = this->Begin("/ask/");
  CHECK_EQUAL(402, response->status);
}

// Requests that may be executed once only, at an upstream that does not answer.
TEST(HedgedSessions, RequestsThatMustNotRepeatAreNeverHedged) {
  for (const std::string path : {"/once/", "/draft/"}) {
    const auto response = this->Begin(path);
    this->fixture.RunFor(milliseconds(400));
    CHECK_EQUAL(1, this->arrivals.size());
    CHECK_FALSE(response->ended);
    this->arrivals[0].close();
    this->Settle();
  }
}

// A caller closes its connection while both attempts run. Guards against
// upstreams that work for nobody.
TEST(HedgedSessions, ACallerThatLeavesCancelsBoth) {
  const auto connection = this->fixture.Connect();
  const auto response =
      this->fixture.StartSendingOn(connection, this->MakeCall("/read/"));
  this->fixture.RunFor(kUntilHedged);
  CHECK_EQUAL(2, this->arrivals.size());
  connection->Close();
  this->Settle();
  CHECK_EQUAL(0, this->desk_1.open_connections());
  CHECK_EQUAL(0, this->desk_2.open_connections());
}

// The first upstream breaks the connection while the second works. Guards
// against a request that fails, or is executed a third time, though an answer
// is on its way.
TEST(HedgedSessions, TheSecondGoesOnIfTheFirstFails) {
  for (const std::string path : {"/read/", "/ask/"}) {
    const auto response = this->Begin(path);
    CHECK_EQUAL(2, this->arrivals.size());
    this->arrivals[0].close();
    this->Settle();
    CHECK_FALSE(response->ended);
    const std::string id = this->arrivals[1].id;
    this->arrivals[1].send(path == "/ask/" ? StreamHead(id) + Event(1)
                                           : RawUpstream::Whole(id, "x"));
    this->arrivals[1].close();
    this->Settle();
    CHECK_EQUAL(200, response->status);
    CHECK_TRUE(response->complete);
    CHECK_EQUAL(2, this->arrivals.size());
  }
}

// The second upstream fails while the first works. Guards against a failure
// that is passed on though the first attempt answers.
TEST(HedgedSessions, TheFirstGoesOnIfTheSecondFails) {
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(2, this->arrivals.size());
  this->arrivals[1].close();
  this->Settle();
  CHECK_FALSE(response->ended);
  this->arrivals[0].send(RawUpstream::Whole(this->arrivals[0].id, "first"));
  this->Settle();
  CHECK_EQUAL(200, response->status);
  CHECK_EQUAL(std::string("first"), response->body);
}

// Both upstreams break the connection. Guards against a third execution, and
// against a refusal that says that nothing was executed.
TEST(HedgedSessions, BothFailAsOneDoes) {
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(2, this->arrivals.size());
  this->arrivals[0].close();
  this->Settle();
  this->arrivals[1].close();
  this->Settle();
  CHECK_EQUAL(502, response->status);
  CHECK_EQUAL(2, this->arrivals.size());
}

// The second upstream has executed the request and closed; then the first one
// refuses it. Guards against a 503 or 429 for a request that was executed.
TEST(HedgedSessions, NoRefusalIsSentIfTheSecondMayHaveRun) {
  for (const bool is_marked : {true, false}) {
    const auto response = this->Begin("/read/");
    CHECK_EQUAL(2, this->arrivals.size());
    this->arrivals[1].close();
    this->Settle();
    const std::string id = this->arrivals[0].id;
    this->arrivals[0].send(
        is_marked ? Refusal(id)
                  : "HTTP/1.1 429 Busy\r\n" +
                        std::string(platform::kAttemptIdHeader) + ": " + id +
                        "\r\nContent-Length: 0\r\n\r\n");
    this->Settle();
    CHECK_EQUAL(502, response->status);
    this->fixture.RunFor(
        milliseconds(1'100));  // Refusals stop hedging for 1 s.
  }
}

// Both upstreams refuse the request, late, in either order. Guards against a
// caller that is not told that nothing was executed.
TEST(HedgedSessions, ARefusalOfBothIsSent) {
  for (const std::size_t order : {0, 1}) {
    const auto response = this->Begin("/read/");
    CHECK_EQUAL(2, this->arrivals.size());
    for (const std::size_t next : {order, 1 - order}) {
      this->arrivals[next].send(Refusal(this->arrivals[next].id));
      this->Settle();
    }
    CHECK_EQUAL(503, response->status);
    CHECK_FALSE(response->retry_after.empty());
    // A refusal stops second attempts for a second.
    this->fixture.RunFor(milliseconds(1'100));
  }
}

// The only other upstream is leaving. Guards against new work for it.
TEST(HedgedSessions, NothingIsSentToAnUpstreamThatLeaves) {
  std::string entry = this->desk_2.Entry("desks");
  const std::string ready = "\"ready\"";
  entry.replace(entry.find(ready), ready.size(), "\"draining\"");
  this->fixture.store.Put("keyed.servers", "raw-2", entry);
  this->fixture.RunFor(milliseconds(700));
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(1, this->arrivals.size());
  CHECK_FALSE(response->ended);
}

// The only other upstream has named a limit of requests a second, which has
// room for a request. Guards against second attempts that use up what first
// attempts need, and exceed the limit together.
TEST(HedgedSessions, NothingIsSentToALimitedUpstream) {
  this->arrivals.clear();
  const auto first = this->fixture.StartSending(this->MakeCall("/read/"));
  this->fixture.RunFor(milliseconds(100));
  CHECK_EQUAL(1, this->arrivals.size());
  const std::string id = this->arrivals[0].id;
  this->arrivals[0].send(RawUpstream::Head(
      id,
      std::string(platform::kLimitHeader) + ": 5\r\nContent-Length: 0\r\n"));
  this->fixture.RunFor(milliseconds(1'500));
  CHECK_TRUE(first->complete);
  const RawUpstream* const limited = this->upstreams[0];
  const auto response = this->Begin("/read/");
  // As it was late before, the limited one is not chosen first.
  CHECK_TRUE(limited != this->upstreams[0]);
  CHECK_EQUAL(1, this->arrivals.size());
}

// A router that is to stop gets late answers. Guards against work that it
// begins anew.
TEST(HedgedSessions, NothingIsHedgedInADrain) {
  this->fixture.router->Drain();
  const auto response = this->Begin("/read/");
  CHECK_EQUAL(1, this->arrivals.size());
  CHECK_FALSE(response->ended);
}

TEST_GROUP(HedgedStandIns) {
  GatewayFixture fixture{seconds(8), false, kAll};

  static auto TimeLeft(const standins::WireUpstream& upstream)->int {
    const std::string_view text = upstream.last_request()
                                      .fields.Find(platform::kDeadlineHeader)
                                      .value_or("");
    int millis = 0;
    std::from_chars(text.data(), text.data() + text.size(), millis);
    return millis;
  }
};

// Both upstreams need 300 ms of the 2 s that the route allows. Guards against a
// second attempt that is told the time that the first one had.
TEST(HedgedStandIns, TheTimeLeftIsHandedOn) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetPlainDelay(milliseconds(300));
  this->fixture.service_2->SetPlainDelay(milliseconds(300));
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/read/";
  CHECK_EQUAL(200, this->fixture.Send(call).status);
  CHECK_EQUAL(1, this->fixture.service_1->executions().size());
  CHECK_EQUAL(1, this->fixture.service_2->executions().size());
  const int one = TimeLeft(*this->fixture.service_1);
  const int two = TimeLeft(*this->fixture.service_2);
  CHECK_TRUE(std::max(one, two) <= 2'000);
  CHECK_TRUE(std::min(one, two) <= std::max(one, two) - 140);
  CHECK_TRUE(std::min(one, two) > 0);
}

TEST_GROUP(UnhedgedSessions) {
  GatewayFixture fixture;
};

// Hedging is off unless it is set: a late request has one attempt.
TEST(UnhedgedSessions, ALateRequestIsSentOnce) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetPlainDelay(milliseconds(350));
  this->fixture.service_2->SetPlainDelay(milliseconds(350));
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/read/";
  CHECK_EQUAL(200, this->fixture.Send(call).status);
  CHECK_EQUAL(1, this->fixture.service_1->executions().size() +
                     this->fixture.service_2->executions().size());
}

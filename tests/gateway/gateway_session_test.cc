// Whole sessions through a router, over real sockets, with stand-ins for the
// platform's log service and for the upstreams.
#include "support/gateway_fixture.h"
#include "support/golden_file.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)
using standins::StoreServer;
using standins::WireUpstream;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto Describe(const std::string& what, const GatewayFixture::Response& response)
    -> std::string {
  std::string body;
  for (const char letter : response.body) {
    body += letter == '\n' ? std::string("|") : std::string(1, letter);
  }
  return what + ": " + std::to_string(response.status) +
         (response.complete ? " whole" : " broken") + " [" + body + "]" +
         (response.seal.empty() ? "" : " " + response.seal) +
         (response.retry_after.empty()
              ? ""
              : " retry-after " + response.retry_after);
}

}  // namespace

TEST_GROUP(GatewaySessions) {
  GatewayFixture fixture;

  auto Call(const std::string& id, const std::string& path,
            const std::string& tokens = "")
      ->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = id;
    call.path = path;
    call.tokens = tokens;
    return this->fixture.Send(call);
  }
};

/** Compares the responses of one session with a golden file: a request of each
   kind, a refusal for lack of budget, a top-up by a new configuration, and a
   drain. */
TEST(GatewaySessions, OfOneTeam) {
  std::vector<std::string> lines;
  lines.push_back(
      Describe("before a configuration", this->Call("a0", "/once/")));
  this->fixture.Publish(1, 1'000);
  lines.push_back(Describe("at most once", this->Call("a1", "/once/")));
  lines.push_back(Describe("idempotent", this->Call("a2", "/read/")));
  lines.push_back(Describe("stream", this->Call("a3", "/draft/", "100,20")));
  lines.push_back(Describe("no route", this->Call("a4", "/none/")));
  lines.push_back(
      Describe("beyond the budget", this->Call("a5", "/draft/", "5000,20")));
  this->fixture.Publish(2, 20'000);
  lines.push_back(
      Describe("after a top-up", this->Call("a6", "/draft/", "5000,20")));
  GatewayFixture::Call unknown;
  unknown.id = "a7";
  unknown.key = "other";
  lines.push_back(Describe("unknown key", this->fixture.Send(unknown)));
  lines.push_back(Describe(
      "ready",
      this->fixture.Get(GatewayFixture::AddressOf(1, "readiness"), "/readyz")));
  lines.push_back(
      Describe("where to connect",
               this->fixture.Get(GatewayFixture::AddressOf(1, "entry"),
                                 "/resolve?Name=h&Zone=a")));
  this->fixture.router->Drain();
  lines.push_back(Describe(
      "ready while draining",
      this->fixture.Get(GatewayFixture::AddressOf(1, "readiness"), "/readyz")));
  lines.push_back(
      Describe("a caller that comes late", this->Call("a8", "/once/")));
  // The port is the system's choice.
  for (std::string& line : lines) {
    const std::string address = GatewayFixture::AddressOf(1, "clients");
    if (const std::size_t at = line.find(address); at != std::string::npos) {
      line.replace(at, address.size(), "ROUTER");
    }
  }
  const std::string difference =
      CompareWithGolden(lines, AUBURNLOFT_GOLDEN_DIR "/gateway-one-team.txt");
  CHECK_TRUE_TEXT(difference.empty(), difference.c_str());
}

// A caller with an outdated list of addresses sends a long stream late in a
// shutdown. At the engines' pace, 20 ms a token, the router's exit would cut
// the stream off, so the router refuses it. Another stream keeps the router
// running until then.
TEST(GatewaySessions, BeginsNoLongStreamLateInAShutdown) {
  this->fixture.Publish(1, 100'000);
  for (auto* const engine :
       {this->fixture.engine_1.get(), this->fixture.engine_2.get()}) {
    engine->SetPace(milliseconds(2), milliseconds(100));
    engine->SetTokensPerEvent(5);
  }
  this->fixture.router->Drain();
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "100,20").status);
  this->fixture.RunFor(milliseconds(900));
  GatewayFixture::Call call;
  call.id = "a0";
  call.path = "/draft/";
  call.tokens = "100,150";
  const auto early = this->fixture.StartSending(call);
  this->fixture.RunFor(milliseconds(2'500));
  const auto late = this->Call("a2", "/draft/", "100,2000");
  CHECK_EQUAL(503, late.status);
  CHECK_FALSE(late.retry_after.empty());
  CHECK_EQUAL(200, this->Call("a3", "/draft/", "100,20").status);
  CHECK_EQUAL(200, this->Call("a4", "/once/").status);
  this->fixture.loop.RunUntil([&] { return early->ended; }, seconds(2));
  CHECK_TRUE(early->complete);
  CHECK_EQUAL(3, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
}

TEST(GatewaySessions, ExecutesAtMostOnceWhenAResponseIsLost) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kResponseLost);
  this->fixture.service_2->SetFault(WireUpstream::Fault::kResponseLost);
  CHECK_EQUAL(502, this->Call("a1", "/once/").status);
  CHECK_EQUAL(1, this->fixture.service_1->executions().size() +
                     this->fixture.service_2->executions().size());
}

TEST(GatewaySessions, RetriesAnIdempotentRequestElsewhere) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kFails);
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200, this->Call("a" + std::to_string(i), "/read/").status);
  }
}

TEST(GatewaySessions, TriesAnotherUpstreamIfOneDidNotExecuteIt) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kFull);
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200, this->Call("a" + std::to_string(i), "/once/").status);
  }
  CHECK_EQUAL(0, this->fixture.service_1->executions().size());
}

TEST(GatewaySessions, RefusesWithRetryAfterIfNoUpstreamExecutedIt) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kFull);
  this->fixture.service_2->SetFault(WireUpstream::Fault::kFull);
  const auto response = this->Call("a1", "/once/");
  CHECK_EQUAL(503, response.status);
  CHECK_FALSE(response.retry_after.empty());
}

TEST(GatewaySessions, ResumesAStreamElsewhereWithoutALostOrDoubledEvent) {
  this->fixture.Publish(1, 10'000);
  this->fixture.engine_1->SetFault(WireUpstream::Fault::kBreaksStream);
  this->fixture.engine_2->SetFault(WireUpstream::Fault::kBreaksStream);
  // Both upstreams break their stream within its second event; the second
  // attempt resumes after the first event.
  const auto response = this->Call("a1", "/ask/", "10,20");
  CHECK_EQUAL(2, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
  CHECK_EQUAL(200, response.status);
  this->fixture.engine_1->SetFault(WireUpstream::Fault::kNone);
  const auto second = this->Call("a2", "/ask/", "10,20");
  CHECK_TRUE(second.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
                          "id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n"),
              second.body);
}

TEST(GatewaySessions, EndsABrokenStreamThatMayNotBeRetried) {
  this->fixture.Publish(1, 10'000);
  this->fixture.engine_1->SetFault(WireUpstream::Fault::kBreaksStream);
  this->fixture.engine_2->SetFault(WireUpstream::Fault::kBreaksStream);
  const auto response = this->Call("a1", "/draft/", "10,20");
  CHECK_FALSE(response.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: event 1\n\n"), response.body);
  CHECK_EQUAL(1, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
}

TEST(GatewaySessions, TimesOutASilentStreamSoThatItsCallerCanRetry) {
  this->fixture.Publish(1, 10'000);
  this->fixture.engine_1->SetFault(WireUpstream::Fault::kSilent);
  this->fixture.engine_2->SetFault(WireUpstream::Fault::kSilent);
  const Instant start = this->fixture.loop.Now();
  CHECK_EQUAL(504, this->Call("a1", "/ask/", "10,20").status);
  // Both upstreams were tried before the route's timeout of 4 s.
  CHECK_TRUE(this->fixture.loop.Now() - start > seconds(2));
  CHECK_TRUE(this->fixture.loop.Now() - start < milliseconds(3'700));
  CHECK_EQUAL(2, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
}

TEST(GatewaySessions, GivesNoCallerAnotherRequestsResponse) {
  this->fixture.Publish(1, 1'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kWrongAttemptId);
  this->fixture.service_2->SetFault(WireUpstream::Fault::kWrongAttemptId);
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/once/";
  const auto response = this->fixture.Send(call);
  CHECK_EQUAL(504, response.status);
}

TEST(GatewaySessions, SendsNothingToAnUpstreamThatLeaves) {
  this->fixture.Publish(1, 1'000);
  this->fixture.List(*this->fixture.service_1, "desk-1", "desks", true);
  this->fixture.RunFor(milliseconds(700));
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200, this->Call("a" + std::to_string(i), "/once/").status);
  }
  CHECK_EQUAL(0, this->fixture.service_1->executions().size());
}

// An upstream that is busy names a time, in which the router tries it no more.
TEST(GatewaySessions, KeepsAwayFromUpstreamsThatAreBusy) {
  this->fixture.Publish(1, 10'000);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kBusy);
  this->fixture.service_2->SetFault(WireUpstream::Fault::kBusy);
  GatewayFixture::Call call;
  call.id = "a1";
  const auto first = this->fixture.Send(call);
  CHECK_EQUAL(503, first.status);
  CHECK_TRUE(std::stod(first.retry_after) > 1.5);
  this->fixture.service_1->SetFault(WireUpstream::Fault::kNone);
  call.id = "a2";
  CHECK_EQUAL(503, this->fixture.Send(call).status);
  CHECK_TRUE(this->fixture.service_1->executions().empty());
}

// A part of a prompt ends both engines, and the streams that run there: the
// stand-in crashes as the users' engines do.
TEST(GatewaySessions, LosesAllStreamsOfAnEngineThatCrashesOnAPart) {
  this->fixture.Publish(1, 10'000'000);
  for (auto* const engine :
       {this->fixture.engine_1.get(), this->fixture.engine_2.get()}) {
    engine->SetPace(milliseconds(20), milliseconds(200));
    engine->SetFault(WireUpstream::Fault::kDeadlyPart);
  }
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/draft/";
  call.tokens = "10,20";
  const auto sound = this->fixture.StartSending(call);
  this->fixture.RunFor(milliseconds(100));
  call.id = "a2";
  call.path = "/ask/";
  call.prompt_parts = "aa:5,dead:5,own:5";
  CHECK_EQUAL(502, this->fixture.Send(call).status);
  this->fixture.RunFor(milliseconds(100));
  CHECK_TRUE(sound->ended);
  CHECK_FALSE(sound->complete);
}

TEST(GatewaySessions, ExcludesAnAddressWhereAnotherUpstreamResponds) {
  this->fixture.Publish(1, 1'000);
  // The record names an id other than that of the process at its address.
  this->fixture.store.Put("keyed.servers", "stale",
                          this->fixture.service_1->Entry("desks", "a", false));
  this->fixture.RunFor(milliseconds(700));
  for (int i = 0; i < 6; ++i) {
    CHECK_EQUAL(200, this->Call("a" + std::to_string(i), "/once/").status);
  }
}

TEST(GatewaySessions, NeverGoesBackToAnOlderConfiguration) {
  this->fixture.Publish(5, 1'000);
  this->fixture.Publish(4, 9'000);
  CHECK_EQUAL(402, this->Call("a1", "/draft/", "5000,20").status);
}

TEST(GatewaySessions, ServesFromItsAllowanceWhileTheLogIsAway) {
  this->fixture.Publish(1, 100'000);
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "100,20").status);
  this->fixture.store.SetFault(StoreServer::Fault::kSilent);
  this->fixture.RunFor(seconds(2));
  CHECK_EQUAL(200, this->Call("a2", "/draft/", "100,20").status);
  CHECK_EQUAL(200, this->Call("a3", "/once/").status);
  this->fixture.store.SetFault(StoreServer::Fault::kNone);
}

// A request needs more tokens than any one router holds, while the log is
// unreachable. Its router must collect transfers of several routers, one after
// the other, before it refuses the request.
TEST(GatewaySessions, CollectsTransfersOfSeveralRoutersWhileTheLogIsAway) {
  this->fixture.AddRouter(2);
  this->fixture.AddRouter(3);
  this->fixture.Publish(1, 10'000);
  this->fixture.RunFor(seconds(2));
  this->fixture.store.SetFault(StoreServer::Fault::kSilent);
  this->fixture.RunFor(seconds(2));
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "1400,100").status);
  // The transferred tokens are used: together the three routers do not hold
  // this amount a second time.
  CHECK_EQUAL(503, this->Call("a2", "/draft/", "1400,100").status);
}

// Guards against callers that are refused until all routers have read an
// increase from the log, though each has confirmed it: half a second and more.
TEST(GatewaySessions, SpendsAnIncreaseThatTheOtherRoutersHaveConfirmed) {
  this->fixture.AddRouter(2);
  this->fixture.RunFor(milliseconds(1'500));
  this->fixture.PutConfig(1, 30'000);
  this->fixture.RunFor(milliseconds(400));
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "1000,20").status);
}

TEST(GatewaySessions, KeepsItsBudgetThroughLostRepliesOfTheLog) {
  this->fixture.Publish(1, 2'000);
  this->fixture.store.SetFault(StoreServer::Fault::kLost);
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    const auto response =
        this->Call("a" + std::to_string(i), "/draft/", "100,20");
    served += response.status == 200 ? 1 : 0;
    this->fixture.RunFor(milliseconds(20));
  }
  CHECK_TRUE(served > 0);
  CHECK_TRUE(served * 120 <= 2'000);
}

TEST(GatewaySessions, GoesOnAfterTheHistoryWasDeleted) {
  this->fixture.Publish(1, 100'000);
  for (const char* const topic : {"keyed.fleet", "keyed.op", "keyed.servers"}) {
    this->fixture.store.Put(topic, "unread", "x");
    this->fixture.store.Put(topic, "unread", "y");
    this->fixture.store.Compact(topic);
  }
  this->fixture.RunFor(seconds(1));
  this->fixture.Publish(2, 200'000);
  CHECK_EQUAL(200, this->Call("a1", "/draft/", "30000,20").status);
}

TEST(GatewaySessions, RefusesHostileBytesAndCloses) {
  this->fixture.Publish(1, 1'000);
  const std::string response = this->fixture.SendRaw(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled "
      "HTTP/1.1\r\n\r\n");
  CHECK_TRUE(response.starts_with("HTTP/1.1 400"));
  CHECK_TRUE(response.find("HTTP/1.1", 1) == std::string::npos);
  CHECK_EQUAL(0, this->fixture.service_1->executions().size() +
                     this->fixture.service_2->executions().size());
}

// Planned stop under load: short streams keep arriving on new connections until
// the process has stopped. Each request that was accepted gets an answer, up to
// those that arrive in the last moments.
TEST(GatewaySessions, AnswersWhatItAcceptsUntilAShutdownEnds) {
  this->fixture.Publish(1, 10'000'000);
  std::vector<std::shared_ptr<GatewayFixture::Response>> responses;
  this->fixture.router->Drain();
  while (this->fixture.stopped_routers == 0) {
    GatewayFixture::Call call;
    call.id = "a" + std::to_string(responses.size());
    call.path = "/draft/";
    call.tokens = "10,20";
    if (const auto response = this->fixture.StartSending(call)) {
      responses.push_back(response);
    }
    this->fixture.RunFor(milliseconds(5));
  }
  this->fixture.router.reset();  // As the process exits.
  this->fixture.RunFor(milliseconds(100));
  int served = 0;
  int refused = 0;
  for (const auto& response : responses) {
    CHECK_TRUE(response->ended);
    CHECK_TRUE(response->complete || response->not_sent);
    served += response->status == 200 ? 1 : 0;
    refused += response->status == 503 ? 1 : 0;
  }
  CHECK_TRUE(served > 100);
  CHECK_TRUE(refused > 0);
}

// An upstream's record lapses while it works on a request: it may only be slow
// to renew it. The request is neither given up nor executed elsewhere.
TEST(GatewaySessions, KeepsWaitingForAnUpstreamWhoseRecordLapses) {
  this->fixture.Publish(1, 10'000'000);
  this->fixture.engine_1->SetPace(milliseconds(100), milliseconds(300));
  this->fixture.engine_2->SetPace(milliseconds(100), milliseconds(300));
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/draft/";
  call.tokens = "10,20";
  const auto response = this->fixture.StartSending(call);
  this->fixture.RunFor(milliseconds(200));
  this->fixture.store.Put("keyed.servers", "engine-1", std::nullopt);
  this->fixture.store.Put("keyed.servers", "engine-2", std::nullopt);
  this->fixture.RunFor(milliseconds(1'500));
  CHECK_TRUE(response->complete);
  CHECK_EQUAL(200, response->status);
  CHECK_EQUAL(1, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
  CHECK_EQUAL(503, this->Call("a2", "/draft/", "10,20").status);
}

// The platform's log is silent for two seconds, and no router announces itself
// or renews what it knows. Running work goes on, and nothing starts again.
TEST(GatewaySessions, GivesNothingUpWhileTheLogIsSilent) {
  this->fixture.Publish(1, 10'000'000);
  this->fixture.engine_1->SetPace(milliseconds(100), milliseconds(700));
  this->fixture.engine_2->SetPace(milliseconds(100), milliseconds(700));
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/draft/";
  call.tokens = "10,20";
  const auto response = this->fixture.StartSending(call);
  this->fixture.store.SetFault(StoreServer::Fault::kSilent);
  this->fixture.RunFor(milliseconds(2'600));
  this->fixture.store.SetFault(StoreServer::Fault::kNone);
  CHECK_TRUE(response->complete);
  CHECK_EQUAL(1, this->fixture.engine_1->executions().size() +
                     this->fixture.engine_2->executions().size());
}

// A router stops while the log is away: it hands its unspent tokens to another
// router, which then serves a request that it could not serve before.
TEST(GatewaySessions, HandsItsTokensOverWhenItStopsWhileTheLogIsAway) {
  this->fixture.AddRouter(2);
  this->fixture.Publish(1, 10'000);
  this->fixture.RunFor(seconds(2));
  this->fixture.store.SetFault(StoreServer::Fault::kSilent);
  this->fixture.RunFor(seconds(1));
  GatewayFixture::Call call;
  call.id = "a1";
  call.path = "/draft/";
  call.tokens = "1800,100";
  const std::string other = GatewayFixture::AddressOf(2, "clients");
  this->fixture.router->Drain();
  this->fixture.loop.RunUntil([&] { return this->fixture.stopped_routers > 0; },
                              seconds(9));
  this->fixture.router.reset();
  CHECK_EQUAL(200, this->fixture.SendTo(other, call).status);
}

// Upstreams that send bytes which are no answer, answers of other requests, or
// answers that do not end: each caller must get its own complete answer or a
// failure, within bounded memory, and the connection must be closed.
#include "al_edge/loop/loop_timer.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Arrival = RawUpstream::Arrival;

/** Far more than a router may buffer of one response, far less than an upstream
   sends in the seconds until a request's deadline. */
constexpr std::size_t kSentUntilClosed = std::size_t{12} << 20;

constexpr std::string_view kEvents = "Content-Type: text/event-stream\r\n";

}  // namespace

/** One upstream of each service, which sends what the test's script says. */
TEST_GROUP(HostileUpstreams) {
  GatewayFixture fixture;
  RawUpstream desk{this->fixture.poller, "raw-desk"};
  RawUpstream engine{this->fixture.poller, "raw-engine"};

  TEST_SETUP() {
    for (const auto* const upstream :
         {&this->fixture.service_1, &this->fixture.service_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "desks", true);
    }
    for (const auto* const upstream :
         {&this->fixture.engine_1, &this->fixture.engine_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "engines", true);
    }
    this->fixture.store.Put("keyed.servers", "raw-desk",
                            this->desk.Entry("desks"));
    this->fixture.store.Put("keyed.servers", "raw-engine",
                            this->engine.Entry("engines"));
    this->fixture.Publish(1, 1'000'000);
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

  /** Calls a plain service whose response has `head` and then `repeated`
     without end, and checks that the router gives up long before the deadline.
   */
  auto CheckGivesUp(const std::string& head, std::string_view repeated)->void {
    this->desk.SetScript([&](const Arrival& arrival) {
      this->desk.SendWithoutEnd(arrival, head, repeated);
    });
    const Instant start = this->fixture.loop.Now();
    const auto response = this->Call("a1", "/once/");
    CHECK_EQUAL(502, response.status);
    CHECK_TRUE(response.complete);
    CHECK_TRUE(this->fixture.loop.Now() - start < milliseconds(1'800));
    this->fixture.RunFor(milliseconds(50));
    CHECK_EQUAL(0, this->desk.open_connections());
    CHECK_TRUE(this->desk.sent_bytes() < kSentUntilClosed);
  }
};

// The upstream answers the first request twice. The second copy arrives when
// the connection carries the second request, before that one's answer.
TEST(HostileUpstreams, GiveALateSecondCopyToNoOtherCaller) {
  std::string copy;
  this->desk.SetScript([&](const Arrival& arrival) {
    const std::string answer =
        RawUpstream::Whole(arrival.id, "of " + arrival.id);
    arrival.send(copy + answer);
    copy = answer;
  });
  for (const char* const id : {"a1", "a2", "a3"}) {
    const auto response = this->Call(id, "/once/");
    CHECK_EQUAL(200, response.status);
    CHECK_EQUAL(std::string("of ") + id, response.body);
  }
  CHECK_EQUAL(1, this->desk.open_connections());  // All used one connection.
}

// As above, but the copy does not tell to which request it belongs.
TEST(HostileUpstreams, GiveACopyWithoutAnIdToNoOtherCaller) {
  this->desk.SetScript([&](const Arrival& arrival) {
    const std::string nameless =
        "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nold";
    arrival.send((arrival.number == 2 ? nameless : "") +
                 RawUpstream::Whole(arrival.id, "of " + arrival.id));
  });
  CHECK_EQUAL(200, this->Call("a1", "/once/").status);
  const auto second = this->Call("a2", "/once/");
  CHECK_EQUAL(502, second.status);
  CHECK_TRUE(second.body.empty());
  CHECK_EQUAL(std::string("of a3"), this->Call("a3", "/once/").body);
}

// The copy arrives between two requests, while the connection is idle.
TEST(HostileUpstreams, LoseAConnectionThatReceivesACopyWhileIdle) {
  Arrival first;
  this->desk.SetScript([&](const Arrival& arrival) {
    first = arrival.number == 1 ? arrival : first;
    arrival.send(RawUpstream::Whole(arrival.id, "of " + arrival.id));
  });
  CHECK_EQUAL(200, this->Call("a1", "/once/").status);
  first.send(RawUpstream::Whole("a1", "of a1"));
  this->fixture.RunFor(milliseconds(20));
  CHECK_EQUAL(std::string("of a2"), this->Call("a2", "/once/").body);
}

TEST(HostileUpstreams, AreGivenUpWithAHeaderWithoutEnd) {
  this->CheckGivesUp("HTTP/1.1 200 OK\r\n", "X-More: 1234567890\r\n");
}

TEST(HostileUpstreams, AreGivenUpWithAHeaderLineWithoutEnd) {
  this->CheckGivesUp("HTTP/1.1 200 OK\r\nX-More: ", "1234567890");
}

TEST(HostileUpstreams, AreGivenUpWithBytesThatAreNoHttp) {
  this->CheckGivesUp("", "no answer in the protocol ");
}

TEST(HostileUpstreams, AreGivenUpWithABodyWithoutEnd) {
  this->CheckGivesUp(RawUpstream::Head("a1", ""), "1234567890");
}

// Guards against a stated length that no memory holds: it cost the process.
TEST(HostileUpstreams, AreGivenUpWithABodyOfAnEnormousStatedLength) {
  this->CheckGivesUp(
      RawUpstream::Head("a1", "Content-Length: 1000000000000000\r\n") + "1",
      "1234567890");
}

TEST(HostileUpstreams, AreGivenUpWithChunksWithoutEnd) {
  this->CheckGivesUp(RawUpstream::Head("a1", "Transfer-Encoding: chunked\r\n"),
                     "4\r\n1234\r\n");
}

TEST(HostileUpstreams, AreGivenUpWithAChunkExtensionWithoutEnd) {
  this->CheckGivesUp(
      RawUpstream::Head("a1", "Transfer-Encoding: chunked\r\n") + "4;x=",
      "1234567890");
}

TEST(HostileUpstreams, AreGivenUpWithTrailersWithoutEnd) {
  this->CheckGivesUp(
      RawUpstream::Head("a1", "Transfer-Encoding: chunked\r\n") + "0\r\n",
      "X-More: 1234567890\r\n");
}

// Guards against a whole trailer that is too long for the parser's containers:
// it cost the process.
TEST(HostileUpstreams, AreGivenUpWithALongTrailer) {
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send(
        RawUpstream::Head(arrival.id, "Transfer-Encoding: chunked\r\n") +
        "2\r\nok\r\n0\r\nX-Garbage: " + std::string(70'000, 'g') + "\r\n\r\n");
  });
  CHECK_EQUAL(502, this->Call("a1", "/once/").status);
  this->fixture.RunFor(milliseconds(50));
  CHECK_EQUAL(0, this->desk.open_connections());
}

TEST(HostileUpstreams, AreGivenUpWithAnotherRequestsBodyWithoutEnd) {
  this->CheckGivesUp(RawUpstream::Head("another", ""), "1234567890");
}

TEST(HostileUpstreams, AreGivenUpWithInterimResponsesWithoutEnd) {
  this->CheckGivesUp("", "HTTP/1.1 100 Continue\r\n\r\n");
}

// A sound upstream that sends the head of a response before its body: a request
// that may not be repeated would be lost.
TEST(HostileUpstreams, AreNotThoseThatSendTheHeadAlone) {
  std::unique_ptr<LoopTimer> body_timer;
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, "Content-Length: 5\r\n"));
    body_timer = std::make_unique<LoopTimer>(
        this->fixture.loop, [send = arrival.send] { send("whole"); });
    body_timer->Start(milliseconds(100));
  });
  const auto response = this->Call("a1", "/once/");
  CHECK_EQUAL(200, response.status);
  CHECK_EQUAL(std::string("whole"), response.body);
}

// A stream that sends bytes but no event ends is no stream.
TEST(HostileUpstreams, AreGivenUpWithAnEventWithoutEnd) {
  this->engine.SetScript([&](const Arrival& arrival) {
    this->engine.SendWithoutEnd(
        arrival,
        RawUpstream::Head(arrival.id, kEvents) + "id: 1\ndata: ", "1234567890");
  });
  CHECK_EQUAL(502, this->Call("a1", "/draft/", "10,20").status);
  this->fixture.RunFor(milliseconds(50));
  CHECK_EQUAL(0, this->engine.open_connections());
  CHECK_TRUE(this->engine.sent_bytes() < kSentUntilClosed);
}

// Guards against an event that was received before and comes without end: it is
// dropped each time, so that the stream neither goes on nor ends.
TEST(HostileUpstreams, AreGivenUpWithTheSameEventWithoutEnd) {
  this->engine.SetScript([&](const Arrival& arrival) {
    this->engine.SendWithoutEnd(arrival, RawUpstream::Head(arrival.id, kEvents),
                                "id: 1\ndata: one\n\n");
  });
  const Instant start = this->fixture.loop.Now();
  const auto response = this->Call("a1", "/draft/", "10,20");
  CHECK_FALSE(response.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: one\n\n"), response.body);
  CHECK_TRUE(this->fixture.loop.Now() - start < milliseconds(1'800));
  this->fixture.RunFor(milliseconds(50));
  CHECK_EQUAL(0, this->engine.open_connections());
  CHECK_TRUE(this->engine.sent_bytes() < kSentUntilClosed);
}

// The upstream sends a comment each 50 ms, but no event. The caller of a stream
// that may be resumed gets a failure that it can repeat, after two seconds and
// before the route's timeout of four.
TEST(HostileUpstreams, MakeNoProgressWithComments) {
  std::vector<std::unique_ptr<LoopTimer>> timers;
  this->engine.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, kEvents));
    timers.push_back(std::make_unique<LoopTimer>(
        this->fixture.loop,
        [send = arrival.send, index = timers.size(), &timers] {
          send(": still here\n\n");
          timers[index]->Start(milliseconds(50));
        }));
    timers.back()->Start(milliseconds(50));
  });
  const Instant start = this->fixture.loop.Now();
  CHECK_EQUAL(504, this->Call("a1", "/ask/", "10,20").status);
  CHECK_TRUE(this->fixture.loop.Now() - start > milliseconds(1'900));
  CHECK_TRUE(this->fixture.loop.Now() - start < milliseconds(3'700));
}

// Pauses of 1.2 s are longer than the route's objective. The stream may not run
// again, and its events do arrive.
TEST(HostileUpstreams, AreNotGivenUpIfTheyAreSlow) {
  std::unique_ptr<LoopTimer> timer;
  int event = 0;
  this->engine.SetScript([&](const Arrival& arrival) {
    arrival.send(
        RawUpstream::Head(arrival.id, "Transfer-Encoding: chunked\r\n"));
    timer = std::make_unique<LoopTimer>(
        this->fixture.loop, [&, send = arrival.send] {
          ++event;
          const std::string text = "id: " + std::to_string(event) + "\n\n";
          send("7\r\n" + text + "\r\n");
          if (event == 3) {
            send("0\r\n\r\n");
          } else {
            timer->Start(milliseconds(1'200));
          }
        });
    timer->Start(milliseconds(1'200));
  });
  const auto response = this->Call("a1", "/draft/", "10,20");
  CHECK_TRUE(response.complete);
  CHECK_EQUAL(std::string("id: 1\n\nid: 2\n\nid: 3\n\n"), response.body);
  CHECK_EQUAL(1, this->engine.arrivals());
}

// A response without a length ends with its connection. The upstream closes it
// within an event, without a reset.
TEST(HostileUpstreams, EndNoStreamWithinAnEvent) {
  this->engine.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, kEvents) +
                 "id: 1\ndata: one\n\nid: 2\nda");
    arrival.close();
  });
  const auto response = this->Call("a1", "/draft/", "10,20");
  CHECK_FALSE(response.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: one\n\n"), response.body);
}

// Guards against a stream without a length that its upstream closes before the
// first event: the caller must not get an empty stream that looks complete.
TEST(HostileUpstreams, EndNoStreamBeforeItsFirstEvent) {
  for (const std::string_view content : {"", ": comment\n\n"}) {
    this->engine.SetScript([&](const Arrival& arrival) {
      arrival.send(RawUpstream::Head(arrival.id, kEvents) +
                   std::string(content));
      arrival.close();
    });
    CHECK_EQUAL(502, this->Call("a1", "/draft/", "10,20").status);
  }
}

// Guards against a stream that is resumed at an upstream which closes without
// an event of its own: the events of the first upstream are not the whole.
TEST(HostileUpstreams, EndNoResumedStreamBeforeItsFirstEvent) {
  RawUpstream spare(this->fixture.poller, "raw-spare");
  this->fixture.store.Put("keyed.servers", "raw-spare", spare.Entry("engines"));
  this->fixture.RunFor(milliseconds(700));
  int arrivals = 0;
  const auto script = [&](const Arrival& arrival) {
    const std::string events =
        ++arrivals == 1 ? "id: 1\ndata: one\n\nid: 2\nda" : "";
    arrival.send(RawUpstream::Head(arrival.id, kEvents) + events);
    arrival.close();
  };
  this->engine.SetScript(script);
  spare.SetScript(script);
  const auto response = this->Call("a1", "/ask/", "10,20");
  CHECK_EQUAL(2, arrivals);
  CHECK_FALSE(response.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: one\n\n"), response.body);
}

// Guards against an upstream that finishes its chunks although it broke off
// within an event: framing that is complete does not make the content complete.
TEST(HostileUpstreams, EndNoChunkedStreamWithinAnEvent) {
  this->engine.SetScript([&](const Arrival& arrival) {
    arrival.send(
        RawUpstream::Head(arrival.id, "Transfer-Encoding: chunked\r\n") +
        "17\r\nid: 1\ndata: one\n\nid: 2\n\r\n0\r\n\r\n");
  });
  const auto response = this->Call("a1", "/draft/", "10,20");
  CHECK_FALSE(response.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: one\n\n"), response.body);
}

TEST(HostileUpstreams, EndAResponseWithoutALengthByAClose) {
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, "") + "whole");
    arrival.close();
  });
  const auto response = this->Call("a1", "/once/");
  CHECK_EQUAL(200, response.status);
  CHECK_TRUE(response.complete);
  CHECK_EQUAL(std::string("whole"), response.body);
}

TEST(HostileUpstreams, CompleteNoResponseByAReset) {
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, "") + "half");
    arrival.reset();
  });
  CHECK_EQUAL(502, this->Call("a1", "/once/").status);
  // With a length, too, and with a close in place of a reset.
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, "Content-Length: 9\r\n") +
                 "half");
    arrival.close();
  });
  CHECK_EQUAL(502, this->Call("a2", "/once/").status);
}

// Guards against a seal, or a word about the execution, in a trailer.
TEST(HostileUpstreams, HaveNoSealInATrailer) {
  this->desk.SetScript([&](const Arrival& arrival) {
    arrival.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + arrival.id +
                 "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                 "X-Server-Seal: s\r\nX-Not-Executed: 1\r\n\r\n");
  });
  CHECK_EQUAL(502, this->Call("a1", "/once/").status);
}

// Without the seal of an upstream, bytes that look like an answer are none.
TEST(HostileUpstreams, SucceedOnlyWithASeal) {
  const auto unsealed = [](const Arrival& arrival) {
    arrival.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + arrival.id +
                 "\r\nContent-Length: 10\r\n\r\nid: 1\ndata");
  };
  this->desk.SetScript(unsealed);
  this->engine.SetScript(unsealed);
  CHECK_EQUAL(502, this->Call("a1", "/once/").status);
  CHECK_EQUAL(502, this->Call("a2", "/draft/", "10,20").status);
}

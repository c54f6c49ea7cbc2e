// Responses that come where they do not belong: an error in place of the rest
// of a stream, and a copy of an earlier refusal in place of an answer.
#include "al_edge/loop/loop_timer.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using Arrival = RawUpstream::Arrival;

constexpr std::string_view kFirstEvent = "id: 1\ndata: one\n\n";
constexpr std::string_view kText = "the engine is out of memory\n";

/** Within this time, an upstream that failed gets requests again. */
constexpr Duration kRecovery = milliseconds(1'200);

/** A response head with the id of the request. */
auto Head(const Arrival& arrival,
          std::string_view status,
          std::string_view fields) -> std::string {
  return "HTTP/1.1 " + std::string(status) + "\r\nX-Attempt-Id: " + arrival.id +
         "\r\n" + std::string(fields);
}

auto WithLength(std::string_view text) -> std::string {
  return "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
         std::string(text);
}

auto InChunks(std::string_view text) -> std::string {
  return "Transfer-Encoding: chunked\r\n\r\n" + EncodeChunk(text) +
         std::string(kLastChunk);
}

auto ToTheEnd(std::string_view text) -> std::string {
  return "Connection: close\r\n\r\n" + std::string(text);
}

/** What the second upstream of a stream answers. */
struct SecondAnswer {
  std::string_view name;
  std::string_view status;
  std::string fields;  ///< From the first field after the id to the end.
};

constexpr std::string_view kSeal = "X-Server-Seal: s\r\n";
constexpr std::string_view kNotRun = "X-Not-Executed: 1\r\n";
constexpr std::string_view kEvents = "Content-Type: text/event-stream\r\n";
constexpr std::string_view kJson = "Content-Type: application/json\r\n";

auto Fields(std::initializer_list<std::string_view> fields,
            const std::string& body) -> std::string {
  std::string text;
  for (const std::string_view field : fields) {
    text += field;
  }
  return text + body;
}

/** Each form in which an answer can be no continuation of a stream. */
auto SecondAnswers() -> std::vector<SecondAnswer> {
  return {
      {"500 with a length", "500 Error", WithLength(kText)},
      {"500 in chunks", "500 Error", InChunks(kText)},
      {"500 to the end", "500 Error", ToTheEnd(kText)},
      {"500 sealed", "500 Error", Fields({kSeal, kEvents}, InChunks(kText))},
      {"503 not executed", "503 Full", Fields({kNotRun}, WithLength(kText))},
      {"404 sealed", "404 Not Found", Fields({kSeal}, WithLength(kText))},
      {"302", "302 Found", Fields({"Location: /\r\n"}, WithLength(kText))},
      {"200 unsealed", "200 OK", Fields({kEvents}, InChunks(kText))},
      {"200 encoded", "200 OK",
       Fields({kSeal, kEvents, "Content-Encoding: gzip\r\n"}, InChunks(kText))},
      {"200 of another type", "200 OK",
       Fields({kSeal, kJson}, WithLength(kText))},
      {"200 of another type in chunks", "200 OK",
       Fields({kSeal, kJson}, InChunks(kText))},
      {"200 of another type to the end", "200 OK",
       Fields({kSeal, kJson}, ToTheEnd(kText))},
      {"200 without events", "200 OK",
       Fields({kSeal, kEvents}, InChunks(kText))},
      {"200 without events or a type", "200 OK",
       Fields({kSeal}, WithLength(kText))},
      {"204", "204 No Content", Fields({kSeal}, "\r\n")},
  };
}

}  // namespace

/** Two engines and one server of a plain service that a test's script plays. */
TEST_GROUP(StrayResponses) {
  GatewayFixture fixture;
  RawUpstream desk{this->fixture.poller, "raw-desk"};
  RawUpstream engine_a{this->fixture.poller, "raw-engine-a"};
  RawUpstream engine_b{this->fixture.poller, "raw-engine-b"};
  std::vector<std::unique_ptr<LoopTimer>> timers;

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
    this->fixture.store.Put("keyed.servers", "raw-engine-a",
                            this->engine_a.Entry("engines"));
    this->fixture.store.Put("keyed.servers", "raw-engine-b",
                            this->engine_b.Entry("engines"));
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

  auto After(Duration delay, const std::function<void()>& call)->void {
    this->timers.push_back(
        std::make_unique<LoopTimer>(this->fixture.loop, call));
    this->timers.back()->Start(delay);
  }
};

// Guards against an error's text, or its head, in the middle of a stream that
// has begun, and against a stream that then ends as if it were complete.
TEST(StrayResponses, AreNoPartOfAStreamThatHasBegun) {
  for (const SecondAnswer& second : SecondAnswers()) {
    int arrivals = 0;
    const auto script = [&arrivals, &second](const Arrival& arrival) {
      if (++arrivals == 1) {
        arrival.send(RawUpstream::Head(arrival.id,
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n") +
                     EncodeChunk(kFirstEvent));
        arrival.close();
        return;
      }
      arrival.send(Head(arrival, second.status, second.fields));
      if (second.fields.find("Connection: close") != std::string::npos) {
        arrival.close();
      }
    };
    this->engine_a.SetScript(script);
    this->engine_b.SetScript(script);
    const auto response =
        this->Call("a-" + std::string(second.name), "/ask/", "10,20");
    CHECK_EQUAL_TEXT(2, arrivals, second.name.data());
    CHECK_EQUAL_TEXT(200, response.status, second.name.data());
    CHECK_EQUAL_TEXT(std::string(kFirstEvent), response.body,
                     second.name.data());
    CHECK_FALSE_TEXT(response.complete, second.name.data());
    this->fixture.RunFor(kRecovery);
  }
}

// Guards against 'not run, try again' for a request that a server runs: the
// server writes its earlier refusal of the same id once more on a kept
// connection when the request is sent again.
TEST(StrayResponses, OfAnEarlierRefusalDoNotRefuseARequestThatRuns) {
  Arrival first;
  int runs = 0;
  const auto refusal = [](const Arrival& arrival) {
    return Head(arrival, "503 Full", Fields({kNotRun}, WithLength(kText)));
  };
  this->desk.SetScript([&](const Arrival& arrival) {
    if (arrival.number == 1) {
      first = arrival;
      arrival.send(refusal(arrival));
      return;
    }
    ++runs;
    first.send(refusal(first));
    this->After(milliseconds(30), [arrival] {
      arrival.send(RawUpstream::Whole(arrival.id, "ran"));
    });
  });
  CHECK_EQUAL(503, this->Call("a1", "/once/").status);
  const auto response = this->Call("a1", "/once/");
  CHECK_EQUAL(1, runs);
  CHECK_EQUAL(200, response.status);
  CHECK_EQUAL(std::string("ran"), response.body);
}

// Guards against the same copy where it comes earlier: it lies unread on the
// kept connection when the next request is sent, with an id or without one.
TEST(StrayResponses, ThatLieOnAKeptConnectionAnswerNoRequest) {
  for (const bool has_id : {true, false}) {
    const std::string name = has_id ? "id" : "none";
    this->desk.SetScript([&](const Arrival& arrival) {
      if (arrival.id == "first-" + name) {
        arrival.send(
            Head(arrival, "503 Full", Fields({kNotRun}, WithLength(kText))));
        this->After(milliseconds(5), [arrival, has_id] {
          Arrival copy = arrival;
          copy.id = has_id ? arrival.id : "";
          arrival.send(has_id ? Head(copy, "503 Full",
                                     Fields({kNotRun}, WithLength(kText)))
                              : "HTTP/1.1 503 Full\r\n" +
                                    Fields({kNotRun}, WithLength(kText)));
        });
        return;
      }
      arrival.send(RawUpstream::Whole(arrival.id, "ran"));
    });
    CHECK_EQUAL(503, this->Call("first-" + name, "/once/").status);
    this->fixture.RunFor(milliseconds(20));
    const auto response = this->Call("second-" + name, "/once/");
    CHECK_EQUAL(200, response.status);
    CHECK_EQUAL(std::string("ran"), response.body);
  }
}

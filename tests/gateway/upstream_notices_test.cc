// What upstreams say about themselves in responses: that they are leaving, and
// for how long they want no requests. Routers must act on it at once, and keep
// it whatever the log service says.
#include <set>

#include "al_gateway/al_gateway.h"
#include "al_gateway/upstreams/back_off.h"
#include "platform/request_codec.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Arrival = RawUpstream::Arrival;

/** Longer than the router takes to read a record. */
constexpr Duration kReadTime = milliseconds(700);

auto Busy(const Arrival& arrival, std::string_view retry_after) -> std::string {
  return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + arrival.id +
         "\r\nX-Not-Executed: 1\r\nRetry-After: " + std::string(retry_after) +
         "\r\nContent-Length: 0\r\n\r\n";
}

/** Reads a response with status 503 and this value of Retry-After. */
auto BackOffFor(std::string_view retry_after, Instant now)
    -> std::optional<Duration> {
  Http1ResponseHead head;
  head.status = 503;
  head.fields.Add("Retry-After", retry_after);
  const auto end = BackOffEnd(platform::ReadResponseMetadata(head), now);
  return end ? std::optional(*end - now) : std::nullopt;
}

auto MakeRecord(const std::string& id) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.started_at_ms = 1;
  return record;
}

}  // namespace

/** Two plain services, which do what the test's scripts say. */
TEST_GROUP(UpstreamNotices) {
  GatewayFixture fixture;
  RawUpstream first{this->fixture.poller, "raw-1"};
  RawUpstream second{this->fixture.poller, "raw-2"};

  TEST_SETUP() {
    for (const auto* const upstream :
         {&this->fixture.service_1, &this->fixture.service_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "desks", true);
    }
    this->List(1);
    this->fixture.Publish(1, 1'000'000);
    for (RawUpstream* const upstream : {&this->first, &this->second}) {
      upstream->SetScript([](const Arrival& arrival) {
        arrival.send(RawUpstream::Whole(arrival.id, "served"));
      });
    }
  }

  /** Writes both records. @param start  of the first upstream. */
  auto List(std::int64_t start)->void {
    this->fixture.store.Put("keyed.servers", "raw-1",
                            this->first.Entry("desks", start));
    this->fixture.store.Put("keyed.servers", "raw-2",
                            this->second.Entry("desks"));
  }

  auto Call(const std::string& id, const std::string& path = "/once/")
      ->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = id;
    call.path = path;
    return this->fixture.Send(call);
  }

  /** Sends requests until the first upstream has got one. */
  auto CallFirst()->void {
    const int before = this->first.arrivals();
    for (int number = 0; number < 50 && this->first.arrivals() == before;
         ++number) {
      this->Call("to-first-" + std::to_string(number));
    }
    CHECK_EQUAL(before + 1, this->first.arrivals());
  }

  /** Sends requests and returns how many of them the first upstream got. */
  auto CallsToFirst(int count)->int {
    const int before = this->first.arrivals();
    for (int number = 0; number < count; ++number) {
      this->Call("more-" + std::to_string(number));
    }
    return this->first.arrivals() - before;
  }

  /** Leaves the first upstream as the only one that has a record. */
  auto RemoveSecond()->void {
    this->fixture.store.Put("keyed.servers", "raw-2", "unreadable");
    this->fixture.RunFor(kReadTime);
  }

  /** The first upstream says in its next response that it is leaving. */
  auto SayLeaving(const std::string& status, const std::string& framing,
                  bool breaks_off)
      ->void {
    this->first.SetScript([=](const Arrival& arrival) {
      arrival.send("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + arrival.id +
                   "\r\nX-Server-Seal: s\r\nServer-Leaving: 1\r\n" + framing +
                   "\r\nok");
      if (breaks_off) {
        arrival.reset();
      }
    });
  }
};

// Guards against new work for an upstream that has said in an answer, a failure
// or a broken answer that it is leaving, while its record says that it stays.
TEST(UpstreamNotices, TakeALeavingUpstreamOut) {
  this->SayLeaving("200 OK", "Content-Length: 2\r\n", false);
  this->CallFirst();
  CHECK_EQUAL(0, this->CallsToFirst(20));
  this->List(1);
  this->fixture.RunFor(kReadTime);
  CHECK_EQUAL(0, this->CallsToFirst(20));
}

// Guards against a notice that is lost with a failure, also where no other
// upstream is left.
TEST(UpstreamNotices, AreReadOnFailures) {
  this->SayLeaving("500 Error", "Content-Length: 2\r\n", false);
  this->CallFirst();
  this->RemoveSecond();
  CHECK_EQUAL(0, this->CallsToFirst(5));
}

// As above, for an answer that is reset midway.
TEST(UpstreamNotices, AreReadOnAnswersThatAreBrokenOff) {
  this->SayLeaving("200 OK", "Content-Length: 9\r\n", true);
  this->CallFirst();
  this->RemoveSecond();
  CHECK_EQUAL(0, this->CallsToFirst(5));
}

// Guards against an outage of the log service that lets a leaving upstream
// return: its record expires and comes back. A restart ends the notice.
TEST(UpstreamNotices, OutliveARecordThatReturns) {
  this->SayLeaving("200 OK", "Content-Length: 2\r\n", false);
  this->CallFirst();
  this->fixture.store.Put("keyed.servers", "raw-1", "unreadable");
  this->fixture.RunFor(kReadTime);
  this->List(1);
  this->fixture.RunFor(kReadTime);
  CHECK_EQUAL(0, this->CallsToFirst(20));
  this->List(2);
  this->fixture.RunFor(kReadTime);
  CHECK_TRUE(this->CallsToFirst(20) > 0);
}

// Guards against requests to an upstream that has just said for how long it
// wants none, and against one that never gets any again.
TEST(UpstreamNotices, KeepRequestsFromABusyUpstreamForItsTime) {
  this->first.SetScript(
      [](const Arrival& arrival) { arrival.send(Busy(arrival, "1.5")); });
  this->CallFirst();
  CHECK_EQUAL(0, this->CallsToFirst(20));
  this->first.SetScript([](const Arrival& arrival) {
    arrival.send(RawUpstream::Whole(arrival.id, "served"));
  });
  this->fixture.RunFor(milliseconds(1'600));
  CHECK_TRUE(this->CallsToFirst(20) > 0);
}

// Guards against callers that wait, or come back too early or all at once,
// while all upstreams want no requests.
TEST(UpstreamNotices, RefuseAtOnceWhileAllUpstreamsAreBusy) {
  for (RawUpstream* const upstream : {&this->first, &this->second}) {
    upstream->SetScript(
        [](const Arrival& arrival) { arrival.send(Busy(arrival, "5")); });
  }
  this->Call("a0");
  this->Call("a1");
  const int before = this->first.arrivals() + this->second.arrivals();
  std::set<std::string> retry_times;
  const Instant start = this->fixture.loop.Now();
  for (int number = 0; number < 10; ++number) {
    const auto response = this->Call("b" + std::to_string(number));
    CHECK_EQUAL(503, response.status);
    const double retry_after = std::stod(response.retry_after);
    CHECK_TRUE(retry_after > 4.0 && retry_after < 7.6);
    retry_times.insert(response.retry_after);
  }
  CHECK_TRUE(this->fixture.loop.Now() - start < seconds(1));
  CHECK_TRUE(retry_times.size() > 5);
  CHECK_EQUAL(before, this->first.arrivals() + this->second.arrivals());
}

// Guards against more requests to an upstream than the limit that it names in
// its responses allows in four seconds, and against one that gets none any
// more.
TEST(UpstreamNotices, KeepToTheLimitOfAnUpstream) {
  this->first.SetScript([](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(
                     arrival.id, "Server-Limit: 1.0\r\nContent-Length: 2\r\n") +
                 "ok");
  });
  this->CallFirst();
  this->fixture.RunFor(milliseconds(500));
  constexpr int kCalls = 80;
  int to_first = 0;
  for (int number = 0; number < kCalls; ++number) {
    to_first += this->CallsToFirst(1);
    this->fixture.RunFor(milliseconds(3'900) / kCalls);
  }
  CHECK_TRUE(to_first <= 1.5 * 1.0 * 4 + 5);
  CHECK_TRUE(to_first >= 1);
}

// Guards against values of Retry-After that take an upstream out for ever, or
// that put it in the past.
TEST(UpstreamNotices, AreLimitedToValidTimes) {
  const Instant now = FromUnixMillis(784'111'777'000);
  CHECK_TRUE(BackOffFor("3", now) == seconds(3));
  CHECK_TRUE(BackOffFor("0.25", now) == milliseconds(250));
  CHECK_TRUE(BackOffFor("Sun, 06 Nov 1994 08:49:47 GMT", now) == seconds(10));
  CHECK_TRUE(BackOffFor("99999999999999999999", now) ==
             std::chrono::minutes(10));
  CHECK_TRUE(BackOffFor("1e300", now) == std::chrono::minutes(10));
  for (const std::string_view text :
       {"", "0", "-5", "soon", "5 s", "nan", "Sun, 06 Nov 1994 08:49:00 GMT",
        "Sun, 99 Nov 1994"}) {
    CHECK_FALSE(BackOffFor(text, now).has_value());
  }
}

// Guards against a herd at the end of a back-off: each router sends one request
// first, and more as time passes.
TEST(UpstreamNotices, LetFewRequestsReturnAtFirst) {
  Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  directory.Put(MakeRecord("u"));
  const auto upstream = directory.UpstreamsOfService("s").front();
  directory.RecordBackOff(*upstream, now + seconds(2), now);
  CHECK_TRUE(directory.EarliestReturn("s", now) == now + seconds(2));
  const auto sent_until_unusable = [&] {
    int sent = 0;
    for (; sent < 100 && upstream->is_usable(now); ++sent) {
      upstream->RecordSent(0, now);
    }
    for (int i = 0; i < sent; ++i) {
      upstream->RecordEnd(0, UpstreamResult::kSucceeded, now);
    }
    return sent;
  };
  CHECK_EQUAL(0, sent_until_unusable());
  now += seconds(2);
  CHECK_EQUAL(1, sent_until_unusable());
  now += seconds(1);
  CHECK_EQUAL(11, sent_until_unusable());
  now += seconds(1);
  CHECK_EQUAL(100, sent_until_unusable());
}

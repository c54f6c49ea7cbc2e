// Records of another writer among those of the upstreams: nested deeply, with a
// number out of range, an address that is none, or bytes that are no text. Each
// costs itself alone; the routers go on following the rest.
#include <limits>
#include <string>

#include "al_gateway/quarantine/crash_suspects.h"
#include "gateway/fleet_records.h"
#include "platform/config_codec.h"
#include "platform/log_codec.h"
#include "platform/request_codec.h"
#include "platform/upstream_codec.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

/** An entry with some of its fields replaced by other JSON texts. */
struct Entry {
  std::string address = R"("10.0.0.1:80")";
  std::string slots = "6";
  std::string warm_up = "0";
  std::string born = "1700000000000";
  std::string extra = "1";

  [[nodiscard]] auto ToText() const -> std::string {
    return R"({"Service":"desks","Zone":"a","Version":"v1","State":"ready","Address":)" +
           this->address + R"(,"BatchSlots":)" + this->slots +
           R"(,"WarmupLeftMs":)" + this->warm_up + R"(,"born":)" + this->born +
           R"(,"Extra":)" + this->extra + "}";
  }
};

auto IsRead(const Entry& entry) -> bool {
  return platform::ReadUpstream("i-1", entry.ToText()).has_value();
}

/** A value nested far deeper than a stack of 8 MB bears in a recursion. */
auto DeeplyNested() -> std::string {
  constexpr int kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/** Three bytes that are no UTF-8 text. */
constexpr std::string_view kNoText = "\xff\xfe\x80";

}  // namespace

TEST_GROUP(OddRecords){};

// Guards against numbers that a conversion turns into others: no slots, a
// negative warm-up, or what is undefined and differs between processors.
TEST(OddRecords, WithNumbersOutOfRangeNameNoUpstream) {
  CHECK_TRUE(IsRead({}));
  for (const char* const slots :
       {"4294967296", "4294967302", "2147483648", "1e300", "-1", "0", "2.5",
        "18446744073709551615", "1e400", "null", "\"6\""}) {
    CHECK_FALSE(IsRead({.slots = slots}));
  }
  for (const char* const millis :
       {"9223372036854775807", "18446744073709551615", "-1", "1e300"}) {
    CHECK_FALSE(IsRead({.warm_up = millis}));
    CHECK_FALSE(IsRead({.born = millis}));
  }
}

// Guards against an address that no connection can use.
TEST(OddRecords, WithoutAUsableAddressNameNoUpstream) {
  for (const char* const address :
       {"\"10.0.0.1:99999\"", "\"10.0.0.1:0\"", "\"10.0.0.1\"", "\"10.0.0.1:\"",
        "\"host:80\"", "\"10.0.0.1:-1\"", "\"\"", "\"0.0.0.0:80\"", "7"}) {
    CHECK_FALSE(IsRead({.address = address}));
  }
}

// Guards against a stack that overflows while a nested value is read or copied.
TEST(OddRecords, NestedDeeplyDoNotEndTheProcess) {
  CHECK_TRUE(IsRead({.extra = DeeplyNested()}));
  CHECK_FALSE(IsRead({.slots = DeeplyNested()}));
  CHECK_FALSE(platform::ReadUpstream("i-1", DeeplyNested()).has_value());
  Findings findings;
  CHECK_FALSE(platform::ReadConfig(DeeplyNested(), findings).has_value());
  const auto page = platform::ParseNewestReply(
      200, R"({"Entries":[{"Key":"a","Value":)" + DeeplyNested() +
               R"(},{"Key":"b","Value":"eA=="}],"More":false,"EndOffset":2})");
  CHECK_TRUE(page.has_value());
  CHECK_EQUAL(std::string("x"), page->records.back().value.value_or(""));
}

// Guards against a page of the log that is lost, or ends the process, because a
// member of it has another type, or one of its texts is none.
TEST(OddRecords, InAPageCostTheOthersNothing) {
  for (const std::string& odd :
       {std::string(R"({"Key":7,"Value":"eA=="})"), std::string("[]"),
        std::string(R"({"Key":"a","Value":1e300})"),
        R"({"Key":"a)" + std::string(kNoText) + R"(","Value":"eA=="})"}) {
    const auto page = platform::ParseNewestReply(
        200, R"({"Entries":[)" + odd + R"(,{"Key":"b","Value":"eA=="}],)" +
                 R"("More":"no","EndOffset":"2"})");
    CHECK_TRUE(page.has_value());
    CHECK_EQUAL(std::string("b"), page->records.back().key);
  }
}

// Guards against times that overflow where they are added to a time, or that
// the conversion of a number leaves undefined.
TEST(OddRecords, WithEnormousTimesAreBounded) {
  Http1Request request;
  for (const char* const millis : {"1e300", "nan", "inf", "-1e300"}) {
    request.fields.Set("X-Deadline-Ms", millis);
    const auto timeout =
        platform::ReadRequestMetadata(request).timeout.value_or(Duration(0));
    CHECK_TRUE(timeout <= std::chrono::hours(1'000'000));
    CHECK_TRUE(timeout >= -std::chrono::hours(1'000'000));
  }
  Http1ResponseHead head;
  head.fields.Add("Keep-Alive", "timeout=9223372036854775807");
  const auto idle = platform::ReadResponseMetadata(head).idle_timeout;
  CHECK_TRUE(idle.value_or(Duration(0)) > Duration(0));
  Findings findings;
  const auto config = platform::ReadConfig(
      R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Type":"safe",
          "Service":"s","TimeoutMs":1e300,"MaxAttempts":1e300}]})",
      findings);
  CHECK_TRUE(config.has_value());
  CHECK_TRUE(config->routes.front().timeout == std::chrono::hours(24));
  CHECK_EQUAL(std::numeric_limits<int>::max(),
              config->routes.front().max_attempts);
}

// Guards against a prompt part with bytes that are no text: it would make the
// router's report unreadable for all others.
TEST(OddRecords, OfPromptPartsDoNotSpoilAReport) {
  const std::vector<PromptPart> parts = {
      {std::string(kNoText), 1}, {"sound", 1}, {"own", 1}};
  const std::vector<std::string> shared = SharedPartsOf(parts);
  CHECK_EQUAL(1, static_cast<int>(shared.size()));
  CHECK_EQUAL(std::string("sound"), shared.front());
}

// Guards against times in a report of the fleet that overflow.
TEST(OddRecords, OfQuarantinesWithEnormousTimesAreBounded) {
  CrashReport report;
  report.reporter = "router-1#1";
  const Instant now = FromUnixMillis(1'000'000'000);
  report.quarantines.push_back({"part", now, Instant::max(), 0});
  const auto read = ReadCrashReport(ToRecord(report, now), false, now);
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->quarantines.front().ends_at - now <= std::chrono::hours(24));
}

/** A router with two upstreams of a service. */
TEST_GROUP(OddRecordSessions) {
  GatewayFixture fixture;

  auto Read(const std::string& id)->int {
    GatewayFixture::Call call;
    call.id = id;
    call.path = "/read/";
    return this->fixture.Send(call).status;
  }
};

// Guards against a router that ends, or no longer follows the upstreams, after
// another writer's record, whether it is listed or read as news.
TEST(OddRecordSessions, LeaveTheOtherUpstreamsFollowed) {
  this->fixture.store.Put("keyed.servers", "odd-1",
                          Entry{.slots = "1e400"}.ToText());
  this->fixture.store.Put("keyed.servers", "odd-2", DeeplyNested());
  this->fixture.Publish(1, 1'000);
  this->fixture.store.Put("keyed.servers", "odd-3",
                          Entry{.address = "\"127.0.0.1:99999\""}.ToText());
  this->fixture.store.Put("keyed.servers", "odd-4",
                          Entry{.slots = DeeplyNested()}.ToText());
  this->fixture.store.Put("keyed.servers", std::string(kNoText),
                          Entry{}.ToText());
  this->fixture.RunFor(milliseconds(700));
  CHECK_EQUAL(200, this->Read("a1"));
  // What is written after them still arrives.
  this->fixture.List(*this->fixture.service_1, "desk-1", "desks", true);
  this->fixture.List(*this->fixture.service_2, "desk-2", "desks", true);
  this->fixture.RunFor(milliseconds(700));
  CHECK_EQUAL(503, this->Read("a2"));
  const auto metrics =
      this->fixture.Get(GatewayFixture::AddressOf(1, "metrics"), "/metrics");
  CHECK_TRUE(metrics.body.find("notices_total{notice=\"unreadable\"} 5") !=
             std::string::npos);
}

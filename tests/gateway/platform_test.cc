// Conversion between the HTTP headers, records and replies of the users'
// platform and the router's own types.
#include "platform/platform.h"
#include "support/test_harness.h"

using namespace auburnloft;            // NOLINT(google-build-using-namespace)
using namespace auburnloft::platform;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Platform) {
  Http1Request request;

  auto setup()->void override {
    this->request.method = "POST";
    this->request.target = "/p/q?x=1";
    this->request.fields.Add("Host", "Some.Example:80");
    this->request.fields.Add("X-Attempt-Id", "id1");
    this->request.fields.Add("X-Token-Count", "1460,80");
    this->request.fields.Add("X-Prompt-Prefix", "5c:800, 91:410,e4:250");
    this->request.fields.Add("X-Deadline-Ms", "1500");
    this->request.fields.Add("Authorization", "Token secret");
  }
};

TEST(Platform, ReadsRequestMetadata) {
  const gateway::RequestMetadata metadata = ReadRequestMetadata(this->request);
  CHECK_EQUAL(std::string("some.example"), metadata.host);
  CHECK_EQUAL(std::string("/p/q"), metadata.path);
  CHECK_EQUAL(std::string("secret"), *metadata.key);
  CHECK_EQUAL(1540, metadata.generation->max_total_tokens());
  CHECK_EQUAL(3, metadata.generation->parts.size());
  CHECK_TRUE(*metadata.timeout == std::chrono::milliseconds(1500));
}

TEST(Platform, SetsTheRoutersHeadersAndRemovesTheKey) {
  this->request.fields.Add("X-Tenant", "forged");
  this->request.fields.Add("Kv-From", "forged");
  this->request.fields.Add("X-Own", "kept");
  gateway::UpstreamRequestMetadata orders;
  orders.instance_id = "i-1";
  orders.team = "team";
  orders.time_left = std::chrono::milliseconds(900);
  const Http1Request sent = MakeUpstreamRequest(this->request, orders, true);
  CHECK_EQUAL(std::string("/p/q?x=1"), sent.target);
  CHECK_EQUAL(std::string_view("team"), *sent.fields.Find("X-Tenant"));
  CHECK_EQUAL(std::string_view("i-1"), *sent.fields.Find("X-Expect-Instance"));
  CHECK_EQUAL(std::string_view("900"), *sent.fields.Find("X-Deadline-Ms"));
  CHECK_EQUAL(std::string_view("kept"), *sent.fields.Find("X-Own"));
  CHECK_FALSE(sent.fields.Find("Authorization").has_value());
  CHECK_FALSE(sent.fields.Find("Kv-From").has_value());
}

TEST(Platform, TakesAMisdirectedResponseWithoutSealForAnotherUpstream) {
  Http1ResponseHead head;
  head.status = 421;
  CHECK_TRUE(ReadResponseMetadata(head).is_replaced);
  CHECK_TRUE(ReadResponseMetadata(head).not_executed);
  head.status = 503;
  CHECK_FALSE(ReadResponseMetadata(head).not_executed);
  head.fields.Add("X-Not-Executed", "1");
  CHECK_TRUE(ReadResponseMetadata(head).not_executed);
}

TEST(Platform, ReadsAConfiguration) {
  Findings findings;
  const auto config = ReadConfig(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"H.example",
      "PathPrefix":"/a/","Type":"streaming","TimeoutMs":15000,"SloMs":800,
      "Priority":1,"Backends":[{"Service":"s","Weight":90},
      {"Service":"t","Weight":10}],"Resumable":true}],
      "Services":[{"Name":"s","MaxConns":360,"Engine":{"Stride":5}}],
      "Limits":{"IdleTimeoutMs":9000},
      "Tenants":[{"Name":"x","ApiKeys":["k"],"Prepaid":100}]})",
      findings);
  CHECK_TRUE(config.has_value());
  CHECK_EQUAL(7, config->version);
  CHECK_EQUAL(std::string("h.example"), config->routes[0].host);
  CHECK_EQUAL(2, config->routes[0].services.size());
  CHECK_TRUE(config->routes[0].is_repeatable());
  CHECK_EQUAL(5, config->services[0].engine->tokens_per_event);
  CHECK_EQUAL(100, *config->teams[0].prepaid_tokens);
  CHECK_TRUE(config->limits.idle_timeout == std::chrono::seconds(9));
}

TEST(Platform, ReportsAllFindingsOfAConfigurationWithTheirPlaces) {
  Findings findings;
  CHECK_FALSE(ReadConfig(R"({"Version":"x","Routes":[{"Host":1,
      "PathPrefix":"/","Type":"odd","Service":"s"}]})",
                         findings)
                  .has_value());
  CHECK_EQUAL(3, findings.all().size());
  CHECK_EQUAL(std::string("/Routes/0/Type"), findings.all()[2].location);
}

TEST(Platform, TakesNoUpstreamFromAnUnreadableEntry) {
  CHECK_FALSE(ReadUpstream("i", "not json").has_value());
  CHECK_FALSE(ReadUpstream("i", R"({"Service":"s"})").has_value());
  CHECK_FALSE(ReadUpstream("i", R"({"Service":"s","Address":"1.2.3.4:5",
      "Zone":"z","State":"odd","BatchSlots":4})")
                  .has_value());
  const auto record = ReadUpstream("i", R"({"Service":"s",
      "Address":"1.2.3.4:5","Zone":"z","State":"draining","BatchSlots":4})");
  CHECK_TRUE(record->leaving);
}

TEST(Platform, WritesAndReadsRecordsOfTheLog) {
  const std::vector<gateway::KeyedRecord> records = {{"k", "value"},
                                                     {"gone", std::nullopt}};
  const Http1Request call = MakeAppendCall("keyed.t", {"p", 1, 3}, records);
  std::string reply(16, '\0');
  reply[7] = 9;   // The end offset of the topic.
  reply[15] = 0;  // The oldest offset that is stored.
  const auto batch = ParseReadReply(200, reply + call.body, 7);
  CHECK_EQUAL(2, batch->records.size());
  CHECK_EQUAL(std::string("value"), *batch->records[0].value);
  CHECK_FALSE(batch->records[1].value.has_value());
  CHECK_EQUAL(9, batch->next_offset);
  CHECK_TRUE(ParseReadReply(410, "", 7)->history_lost);
  CHECK_FALSE(ParseReadReply(200, reply + call.body.substr(0, 5), 7));
}

TEST(Platform, ReadsTheStatusOfAnAppend) {
  CHECK_TRUE(ParseAppendReply(200, "{}")->status ==
             gateway::AppendStatus::kDone);
  CHECK_TRUE(ParseAppendReply(503, "")->status ==
             gateway::AppendStatus::kRefused);
  const auto reply = ParseAppendReply(409, R"({"Reason":"seq","Sequence":4})");
  CHECK_TRUE(reply->status == gateway::AppendStatus::kOutOfOrder);
  CHECK_EQUAL(4, reply->expected_sequence);
  CHECK_FALSE(ParseAppendReply(500, "").has_value());
}

TEST(Platform, ResolvesEntryAddresses) {
  const auto query = ReadRouterAddressQuery("/resolve?Name=h&Region=r&Zone=z");
  CHECK_EQUAL(std::string("z"), query->domain);
  CHECK_FALSE(ReadRouterAddressQuery("/other").has_value());
  const std::vector<std::string> addresses = {"1.2.3.4:5"};
  CHECK_EQUAL(std::string(R"({"Addresses":["1.2.3.4:5"],"TtlS":1.0})"),
              MakeRouterAddressResponse(addresses, std::chrono::seconds(1)));
}

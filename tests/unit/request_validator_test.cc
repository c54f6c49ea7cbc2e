#include "al_router/validation/request_validator.h"
#include "al_core/text/digest.h"
#include "al_router/validation/request_identity.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(RequestValidator) {
  RequestValidator validator;
  Configuration configuration;
  CallerRequest request;
  Instant now = FromUnixMillis(1'700'000'000'000);

  auto setup()->void override {
    this->configuration.defaults.chat_class = "quick";
    this->configuration.classes.push_back(
        {"quick", LatencyClass::kInteractive, 3, {}, {}});
    this->configuration.teams.push_back({TeamId("blue"), Sha256Hex("key")});
    Upstream engine;
    engine.id = UpstreamId("e1");
    engine.models = {"m"};
    this->configuration.upstreams.push_back(engine);
    Service service{
        "pay",
        {{"POST", "/out", true, 2, "quick"}, {"GET", "/", false, 1, "quick"}}};
    this->configuration.services.push_back(service);
    this->request.method = "POST";
    this->request.path = "/v1/chat/completions";
    this->request.authorization = "Bearer key";
    this->request.body =
        R"({"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":7})";
  }
  auto ExpectRefusal(RefusalCode code)->void {
    CHECK_FALSE(
        this->validator.Validate(this->now, this->configuration, this->request)
            .has_value());
    CHECK_EQUAL(std::string(ToText(code)),
                std::string(ToText(this->validator.last_refusal().code)));
    CHECK_TRUE(this->validator.last_refusal().execution ==
               ExecutionState::kNotExecuted);
    CHECK_FALSE(this->validator.last_refusal().text.empty());
  }
};

TEST(RequestValidator, AdmitsAChatWithAnUpperBoundOfItsCost) {
  const std::optional<ValidatedRequest> validated =
      this->validator.Validate(this->now, this->configuration, this->request);
  CHECK_TRUE(validated.has_value());
  CHECK_EQUAL(6 + 8 + 16 + 7, validated->incoming.upper);
  CHECK_EQUAL(std::string("blue"), validated->incoming.team.value());
  CHECK_TRUE(validated->upstream_body.find("\"priority\":3") !=
             std::string::npos);
}

TEST(RequestValidator, RefusesBadJson) {
  for (const char* const body :
       {"", "{", "[]", "{}", R"({"model":5})", R"({"model":"m"})",
        R"({"model":"m","messages":[]})", R"({"model":"m","messages":[{}]})",
        R"({"model":"m","messages":[{"content":"x"}],"max_tokens":0})",
        R"({"model":"m","messages":[{"content":"x"}],"max_tokens":"many"})",
        R"({"model":"m","messages":[{"content":"x"}],"stream":"yes"})",
        R"({"model":"m","messages":[{"content":"x"}],"n":3})"}) {
    this->request.body = body;
    this->ExpectRefusal(RefusalCode::kBadRequest);
  }
}

TEST(RequestValidator, RefusesAWrongKey) {
  this->request.authorization = "Bearer other";
  this->ExpectRefusal(RefusalCode::kUnauthorized);
  this->request.authorization = "";
  this->ExpectRefusal(RefusalCode::kUnauthorized);
}

TEST(RequestValidator, RefusesUnknownPathsModelsServicesAndCalls) {
  this->request.body = R"({"model":"x","messages":[{"content":"x"}]})";
  this->ExpectRefusal(RefusalCode::kNotFound);
  for (const char* const path :
       {"/", "/v1/services/none/out", "/v1/services/pay/out/../x"}) {
    this->request.path = path;
    this->request.method = "DELETE";
    this->ExpectRefusal(RefusalCode::kNotFound);
  }
}

TEST(RequestValidator, RequiresAKeyAndItsIssueTimeForAtMostOnceCalls) {
  this->request.path = "/v1/services/pay/out";
  this->ExpectRefusal(RefusalCode::kBadRequest);
  this->request.idempotency_key = "order-7";
  this->ExpectRefusal(RefusalCode::kIssueTimeRequired);
  this->request.issued_at = "soon";
  this->ExpectRefusal(RefusalCode::kBadRequest);
  this->request.issued_at = "1699999999000";
  const std::optional<ValidatedRequest> validated =
      this->validator.Validate(this->now, this->configuration, this->request);
  CHECK_TRUE(validated.has_value());
  CHECK_TRUE(validated->incoming.at_most_once);
  this->request.issued_at = "1699000000000";
  this->ExpectRefusal(RefusalCode::kKeyExpired);
  this->request.issued_at = "1800000000000";
  this->ExpectRefusal(RefusalCode::kIssueTimeInFuture);
  this->request.idempotency_key = std::string(200, 'k');
  this->ExpectRefusal(RefusalCode::kBadRequest);
}

TEST(RequestValidator, ReadsTheTimeOfAUuid7) {
  CHECK_EQUAL(0x017F22E279B0,
              *IssueTimeOfUuid("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
  CHECK_FALSE(
      IssueTimeOfUuid("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value());
  CHECK_FALSE(IssueTimeOfUuid("").has_value());
}

TEST(RequestValidator, ResumesAStreamOnlyByAnEventIdWithTheRequestsKey) {
  this->request.last_event_id = "e1/s9/41";
  this->ExpectRefusal(
      RefusalCode::kBadRequest);  // The request's key is missing.
  this->request.idempotency_key = "k";
  const std::optional<ValidatedRequest> validated =
      this->validator.Validate(this->now, this->configuration, this->request);
  CHECK_EQUAL(std::string("s9"), validated->incoming.resume->stream);
  CHECK_EQUAL(41U, validated->incoming.resume->sequence);
  this->request.last_event_id = "junk";
  this->ExpectRefusal(RefusalCode::kBadRequest);
  this->request.last_event_id =
      "gone/s9/41";  // The engine is not configured: execute from the start.
  CHECK_FALSE(
      this->validator.Validate(this->now, this->configuration, this->request)
          ->incoming.resume.has_value());
}

#include "http/http_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kGood =
    R"({"model":"m","messages":[{"role":"user","content":"[pieces=5] hello"}],"max_tokens":9})";
constexpr const char* kStream =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"[pieces=400] hello"}],"max_tokens":400})";

}  // namespace

/** Malformed and hostile requests over real sockets: a clear error, nothing
   billed, and the router goes on. */
TEST_GROUP(HostileRequests) {
  HttpFixture& fixture = HttpFixture::Get();

  auto Expect(const std::string& answer, const std::string& part)->void {
    CHECK_TRUE_TEXT(answer.find(part) != std::string::npos,
                    answer.substr(0, 600).c_str());
  }
  /** The router still answers. */
  auto teardown()->void override {
    const std::string answer =
        this->fixture.Exchange(HttpFixture::MakeChatRequest(
                                   "blue-key", "connection: close\r\n", kGood),
                               "\"usage\"");
    this->Expect(answer, "chat.completion");
  }
};

TEST(HostileRequests, BadJsonGetsAClearError) {
  const std::string answer = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", "", R"({"model":)"), "}}");
  this->Expect(answer, " 400 ");
  this->Expect(answer, R"("code":"bad_request")");
  this->Expect(answer, "the body is not a JSON object");
  this->Expect(answer, R"("run":"no")");
}

TEST(HostileRequests, AWrongKeyGetsAClearError) {
  this->Expect(this->fixture.Exchange(
                   HttpFixture::MakeChatRequest("nobody", "", kGood), "}}"),
               R"("code":"unauthorized")");
}

TEST(HostileRequests, AHugeBodyIsRefusedBeforeItIsRead) {
  const std::string answer = this->fixture.Exchange(
      "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ncontent-length: "
      "99999999\r\n\r\nxxxx",
      "}}");
  this->Expect(answer, " 413 ");
  this->Expect(answer, R"("code":"too_large")");
}

TEST(HostileRequests, ABodyOfUnknownLengthIsRefused) {
  const std::string answer = this->fixture.Exchange(
      "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ntransfer-encoding: "
      "chunked\r\n\r\n5\r\nhello\r\n",
      "}}");
  this->Expect(answer, " 411 ");
}

TEST(HostileRequests, AHugeHeaderEndsItsConnectionOnly) {
  const std::string huge = "x-filler: " + std::string(200'000, 'h') + "\r\n";
  const std::string answer = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", huge, kGood), "}}");
  CHECK_TRUE(answer.find("chat.completion") == std::string::npos);
}

TEST(HostileRequests, RubbishEndsItsConnectionOnly) {
  const std::string answer = this->fixture.Exchange(
      std::string("\0\x16\x03\x01", 4) + " no http at all\r\n\r\n", "}}");
  CHECK_TRUE(answer.find("chat.completion") == std::string::npos);
}

TEST(HostileRequests, ABodyThatIsCutHalfWayIsNotBilled) {
  const std::int64_t before = this->fixture.ReadState("/requests/arrived");
  std::string half = HttpFixture::MakeChatRequest("blue-key", "", kGood);
  half.resize(half.size() - 20);
  this->fixture.SendAndDisconnect(half, "\r\n\r\n never comes");
  CHECK_EQUAL(before, this->fixture.ReadState("/requests/arrived"));
}

TEST(HostileRequests, ACallerThatLeavesAStreamEndsTheWorkAtTheEngine) {
  const std::int64_t before = this->fixture.ReadState("/requests/callers_gone");
  this->fixture.SendAndDisconnect(
      HttpFixture::MakeChatRequest("blue-key", "", kStream), "/3\n");
  CHECK_EQUAL(before + 1, this->fixture.ReadState("/requests/callers_gone"));
  CHECK_EQUAL(0, this->fixture.ReadState("/requests/open"));
}

TEST(HostileRequests, AnotherTeamsKeyIsAnotherRequest) {
  const std::string header = "idempotency-key: shared\r\nconnection: close\r\n";
  const std::string blue = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", header, kGood), "\"usage\"");
  const std::string red = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("red-key", header, kGood), "\"usage\"");
  this->Expect(blue, "chat.completion");
  this->Expect(red, "chat.completion");
}

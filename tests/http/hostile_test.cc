#include <string>
#include <vector>

#include "http/http_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kValidBody =
    R"({"model":"m","messages":[{"role":"user","content":"[pieces=5] hello"}],"max_tokens":9})";
constexpr const char* kStreamBody =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"[pieces=400] hello"}],"max_tokens":400})";

}  // namespace

/** Malformed and hostile requests over real sockets get a clear error, are not
   billed, and do not stop the router from serving others. */
TEST_GROUP(HostileRequests) {
  HttpFixture& fixture = HttpFixture::Get();

  auto ExpectContains(const std::string& response, const std::string& expected)
      ->void {
    CHECK_TRUE_TEXT(response.find(expected) != std::string::npos,
                    response.substr(0, 600).c_str());
  }
  /** Checks that the router still answers a valid request. */
  auto teardown()->void override {
    const std::string response = this->fixture.Exchange(
        HttpFixture::MakeChatRequest("blue-key", "connection: close\r\n",
                                     kValidBody),
        "\"usage\"");
    this->ExpectContains(response, "chat.completion");
  }
};

TEST(HostileRequests, BadJsonGetsAClearError) {
  const std::string response = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", "", R"({"model":)"), "}}");
  this->ExpectContains(response, " 400 ");
  this->ExpectContains(response, R"("code":"bad_request")");
  this->ExpectContains(response, "the body is not a JSON object");
  this->ExpectContains(response, R"("run":"no")");
}

TEST(HostileRequests, AWrongKeyGetsAClearError) {
  this->ExpectContains(
      this->fixture.Exchange(
          HttpFixture::MakeChatRequest("nobody", "", kValidBody), "}}"),
      R"("code":"unauthorized")");
}

TEST(HostileRequests, AHugeBodyIsRefusedBeforeItIsRead) {
  const std::string response = this->fixture.Exchange(
      "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ncontent-length: "
      "99999999\r\n\r\nxxxx",
      "}}");
  this->ExpectContains(response, " 413 ");
  this->ExpectContains(response, R"("code":"too_large")");
}

TEST(HostileRequests, ABodyOfUnknownLengthIsRefused) {
  const std::string response = this->fixture.Exchange(
      "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ntransfer-encoding: "
      "chunked\r\n\r\n5\r\nhello\r\n",
      "}}");
  this->ExpectContains(response, " 411 ");
}

// Guards against a request whose body is read as a further request, because its
// end is found elsewhere than by a proxy before the router.
TEST(HostileRequests, ABodyIsNeverTakenForARequest) {
  const std::string inner = HttpFixture::MakeChatRequest(
      "blue-key", "connection: close\r\n", kValidBody);
  const std::string size = std::to_string(inner.size());
  const std::string post = "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n";
  const std::string get = "GET /v1/models HTTP/1.1\r\nhost: r\r\n";
  const std::vector<std::string> fields_of_requests{
      "content-length: abc",
      "content-length: -" + size,
      "content-length: +" + size,
      "content-length: 0x" + size,
      "content-length: 0\r\ncontent-length: " + size,
      "content-length: 0, " + size,
      "transfer-encoding: chunked",
      "transfer-encoding: gzip",
      "content-length: 0\r\ntransfer-encoding: chunked"};
  for (const std::string& line : {post, get}) {
    for (const std::string& fields : fields_of_requests) {
      std::string bytes = line;
      bytes.append(fields).append("\r\n\r\n").append(inner);
      const std::string response =
          this->fixture.Exchange(bytes, "\"usage\"", std::chrono::seconds(2));
      CHECK_TRUE_TEXT(response.find("chat.completion") == std::string::npos,
                      bytes.c_str());
      CHECK_TRUE_TEXT(response.find(" 400 ") != std::string::npos ||
                          response.find(" 411 ") != std::string::npos,
                      bytes.c_str());
      this->ExpectContains(response, "connection: close");
    }
  }
  std::string with_body = get;
  with_body.append("content-length: ").append(size).append("\r\n\r\n");
  with_body.append(inner);
  CHECK_TRUE(
      this->fixture.Exchange(with_body, "\"usage\"", std::chrono::seconds(2))
          .find("chat.completion") == std::string::npos);
}

// Guards against a router that ends, spins, or runs a request twice if a
// further request comes before the response to one with a body is complete.
TEST(HostileRequests, APipelinedRequestEndsOnlyItsConnection) {
  const std::string second =
      HttpFixture::MakeChatRequest("blue-key", "", kValidBody);
  const std::int64_t arrived = this->fixture.ReadState("/requests/arrived");
  const std::int64_t gone = this->fixture.ReadState("/requests/callers_gone");
  for (const char* const body : {kValidBody, kStreamBody}) {
    const std::string response = this->fixture.Exchange(
        HttpFixture::MakeChatRequest("blue-key", "", body) + second,
        "\"usage\"");
    CHECK_TRUE(response.find("\"usage\"") == std::string::npos);
  }
  this->fixture.RunFor(std::chrono::milliseconds(300));
  CHECK_EQUAL(arrived + 2, this->fixture.ReadState("/requests/arrived"));
  CHECK_EQUAL(gone + 2, this->fixture.ReadState("/requests/callers_gone"));
  CHECK_EQUAL(0, this->fixture.ReadState("/requests/open"));
}

// Guards against a pipelined request that takes the response to the first away,
// or that is neither served nor announced as unread by `connection: close`.
TEST(HostileRequests, APipelinedRequestFollowsAnImmediateResponse) {
  const std::string second = HttpFixture::MakeChatRequest(
      "blue-key", "connection: close\r\n", kValidBody);
  const std::string post = "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n";
  const std::string get = "GET /v1/models HTTP/1.1\r\nhost: r\r\n";
  const std::vector<std::pair<std::string, std::string>> first_requests{
      {HttpFixture::MakeChatRequest("blue-key", "", "no JSON"), " 400 "},
      {HttpFixture::MakeChatRequest("nobody", "", kValidBody), " 401 "},
      {post + "content-length: 0\r\n\r\n", " 401 "},
      {get + "content-length: 0\r\n\r\n", " 401 "},
      {get + "content-length: 2\r\n\r\nab", " 401 "},
      {post + "content-length: 2000000\r\n\r\n" + std::string(2'000'000, 'x'),
       " 413 "}};
  for (const auto& [first, status] : first_requests) {
    std::string bytes = first;
    bytes.append(second);
    const std::string response =
        this->fixture.Exchange(bytes, "\"usage\"", std::chrono::seconds(2));
    const std::string shown = first.substr(0, 200) + response.substr(0, 600);
    CHECK_EQUAL_TEXT(response.find(status), response.find(' '), shown.c_str());
    CHECK_TRUE_TEXT(response.find("\"usage\"") != std::string::npos ||
                        response.find("connection: close") != std::string::npos,
                    shown.c_str());
  }
}

// Guards against a request whose body is read from the wrong place if it was
// received together with the request before it.
TEST(HostileRequests, APipelinedRequestAfterOneWithoutABodyIsServed) {
  const std::string response = this->fixture.Exchange(
      "GET /v1/models HTTP/1.1\r\nhost: r\r\n\r\n" +
          HttpFixture::MakeChatRequest("blue-key", "connection: close\r\n",
                                       kValidBody),
      "\"usage\"", std::chrono::seconds(2));
  this->ExpectContains(response, "\"usage\"");
}

TEST(HostileRequests, AHugeHeaderEndsOnlyItsConnection) {
  const std::string huge = "x-filler: " + std::string(200'000, 'h') + "\r\n";
  const std::string response = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", huge, kValidBody), "}}");
  CHECK_TRUE(response.find("chat.completion") == std::string::npos);
}

TEST(HostileRequests, NonHttpBytesEndOnlyTheirConnection) {
  const std::string response = this->fixture.Exchange(
      std::string("\0\x16\x03\x01", 4) + " no http at all\r\n\r\n", "}}");
  CHECK_TRUE(response.find("chat.completion") == std::string::npos);
}

TEST(HostileRequests, AnIncompleteBodyIsNotBilled) {
  const std::int64_t before = this->fixture.ReadState("/requests/arrived");
  std::string half = HttpFixture::MakeChatRequest("blue-key", "", kValidBody);
  half.resize(half.size() - 20);
  this->fixture.SendAndDisconnect(half, "\r\n\r\n never comes");
  CHECK_EQUAL(before, this->fixture.ReadState("/requests/arrived"));
}

TEST(HostileRequests, ADisconnectDuringAStreamCancelsTheRequest) {
  const std::int64_t before = this->fixture.ReadState("/requests/callers_gone");
  this->fixture.SendAndDisconnect(
      HttpFixture::MakeChatRequest("blue-key", "", kStreamBody), "/3\n");
  CHECK_EQUAL(before + 1, this->fixture.ReadState("/requests/callers_gone"));
  CHECK_EQUAL(0, this->fixture.ReadState("/requests/open"));
}

TEST(HostileRequests, EqualKeysOfTwoTeamsAreDifferentRequests) {
  const std::string header = "idempotency-key: shared\r\nconnection: close\r\n";
  const std::string blue = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("blue-key", header, kValidBody),
      "\"usage\"");
  const std::string red = this->fixture.Exchange(
      HttpFixture::MakeChatRequest("red-key", header, kValidBody), "\"usage\"");
  this->ExpectContains(blue, "chat.completion");
  this->ExpectContains(red, "chat.completion");
}

// Guards against an option of another type than documented, which ended the
// router with an exception of the JSON library.
TEST(HostileRequests, AnOptionOfAnotherTypeGetsAClearError) {
  const std::string response = this->fixture.Exchange(
      HttpFixture::MakeChatRequest(
          "blue-key", "",
          R"({"model":"m","messages":[{"role":"user","content":"hello"}],)"
          R"("stream_options":{"include_usage":"yes"}})"),
      "}}");
  this->ExpectContains(response, " 400 ");
  this->ExpectContains(response, "include_usage");
}

// Guards against a body that is nested so deeply that writing it again uses up
// the stack.
TEST(HostileRequests, ADeeplyNestedBodyGetsAClearError) {
  constexpr std::size_t kDepth = 32'000;
  const std::string response = this->fixture.Exchange(
      HttpFixture::MakeChatRequest(
          "blue-key", "",
          R"({"model":"m","messages":[{"role":"user","content":)" +
              std::string(kDepth, '[') + std::string(kDepth, ']') + "}]}"),
      "}}");
  this->ExpectContains(response, " 400 ");
  this->ExpectContains(response, "nested");
}

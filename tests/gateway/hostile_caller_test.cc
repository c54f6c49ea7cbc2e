// Bytes from strangers at each address of a router: they cost their own
// connection, and nothing else.
#include <unistd.h>

#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_fixture.h"
#include "support/raw_caller.h"
#include "support/test_harness.h"

using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

/** Returns the memory of this process, router included, that is resident. */
auto ResidentBytes() -> std::size_t {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

TEST_GROUP(HostileCallers) {
  GatewayFixture fixture;

  TEST_SETUP() {
    this->fixture.Publish(1, 1'000'000);
  }
};

// Guards against a trailer that ends the router. It needs no key.
TEST(HostileCallers, AreRefusedWithALongTrailer) {
  const std::string garbage(70'000, 'g');
  for (const char* const listener :
       {"clients", "entry", "readiness", "peers", "metrics"}) {
    for (const std::string& field : {"X-A: " + garbage, garbage + ": a"}) {
      const std::string response = this->fixture.SendRaw(
          "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n"
          "2\r\nok\r\n0\r\n" +
              field + "\r\n\r\n",
          listener);
      // The last three need no body, and refuse it before its trailer.
      const std::string_view name(listener);
      const bool takes_bodies = name == "clients" || name == "peers";
      CHECK_TRUE_TEXT(response.starts_with(takes_bodies ? "HTTP/1.1 431 "
                                                        : "HTTP/1.1 413 "),
                      response.c_str());
    }
  }
}

// Guards against a key, or any other field that decides, in a trailer.
TEST(HostileCallers, HaveNoKeyInATrailer) {
  const std::string response = this->fixture.SendRaw(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\nAuthorization: Token blue-key\r\n\r\n");
  CHECK_TRUE(response.starts_with("HTTP/1.1 401 "));
}

// Guards against many callers whose bodies, each within its limit, together
// fill the memory.
TEST(HostileCallers, DoNotFillTheMemoryWithTheirBodies) {
  constexpr std::size_t kCallers = 30;
  constexpr std::size_t kBodyBytes = std::size_t{4} << 20;
  const auto post = [](std::size_t stated, std::size_t sent) {
    return "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(stated) + "\r\n\r\n" + std::string(sent, 'b');
  };
  this->fixture.SetMaxBodyBytes(kBodyBytes);
  this->fixture.Publish(2, 1'000'000);
  std::vector<RawCaller::Script> scripts(kCallers);
  for (RawCaller::Script& script : scripts) {
    script.first = post(kBodyBytes, kBodyBytes - 1);
  }
  const std::size_t before = ResidentBytes();
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kCallers);
  for (RawCaller::Script& script : scripts) {
    callers.push_back(std::make_unique<RawCaller>(
        GatewayFixture::AddressOf(1, "clients"), std::move(script)));
  }
  this->fixture.RunFor(milliseconds(2'000));
  CHECK_TRUE(ResidentBytes() < before + (std::size_t{80} << 20));
  const std::string large = post(std::size_t{1} << 20, std::size_t{1} << 20);
  const std::string refused = this->fixture.SendRaw(large);
  CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 503 "), refused.c_str());
  CHECK_TRUE(refused.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK_TRUE(this->fixture.SendRaw(post(2, 2)).starts_with("HTTP/1.1 401 "));
  callers.clear();
  this->fixture.RunFor(milliseconds(500));
  CHECK_TRUE(this->fixture.SendRaw(large).starts_with("HTTP/1.1 401 "));
}

// Guards against a caller that sends requests without end and reads no
// response: all responses were kept.
TEST(HostileCallers, GetNoFurtherResponsesUntilTheyRead) {
  const std::size_t before = ResidentBytes();
  const RawCaller caller(GatewayFixture::AddressOf(1, "clients"),
                         {"", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"});
  this->fixture.RunFor(milliseconds(1'500));
  const std::size_t sent = caller.sent_bytes();
  this->fixture.RunFor(milliseconds(1'000));
  CHECK_TRUE(sent > 0);
  CHECK_EQUAL(sent, caller.sent_bytes());
  CHECK_TRUE(ResidentBytes() < before + (std::size_t{8} << 20));
}

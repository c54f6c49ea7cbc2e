// Bytes from strangers at each address of a router: they cost their own
// connection, and nothing else.
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

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
      CHECK_TRUE(response.starts_with("HTTP/1.1 431 "));
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

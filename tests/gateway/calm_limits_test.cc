// Single requests at the limits of the configuration, in calm: each is served.
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "al_net/tcp_connection.h"
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;

auto HeadFor(std::string_view path, const std::string& more) -> std::string {
  return "POST " + std::string(path) +
         "x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n"
         "Connection: close\r\nAuthorization: Token blue-key\r\n" +
         more + "\r\n";
}

}  // namespace

TEST_GROUP(CalmLimits) {
  GatewayFixture fixture;

  TEST_SETUP() {
    this->fixture.SetMaxHeaderBytes(kMaxHeaderBytes);
    this->fixture.SetMaxBodyBytes(kMaxBodyBytes);
    this->fixture.SetTimeouts(milliseconds(1'000), milliseconds(800));
    this->fixture.Publish(1, 1'000'000);
  }

  /** Sends pieces with a pause before each but the first, and returns the
      response. */
  auto SendPieces(const std::vector<std::string>& pieces, milliseconds pause)
      ->std::string {
    std::string received;
    bool ended = false;
    std::shared_ptr<TcpConnection> connection;
    TcpConnection::Callbacks callbacks;
    callbacks.on_input = [&] {
      received.append(connection->input());
      connection->Consume(connection->input().size());
    };
    callbacks.on_end = [&](TcpCloseReason /*end*/) { ended = true; };
    connection = TcpConnection::Connect(this->fixture.poller,
                                        GatewayFixture::AddressOf(1, "clients"),
                                        seconds(2), std::move(callbacks));
    for (const std::string& piece : pieces) {
      connection->Write(piece);
      this->fixture.RunFor(pause);
    }
    this->fixture.loop.RunUntil([&] { return ended; }, seconds(20));
    connection->SetCallbacks({});
    connection->Close();
    return received;
  }
};

// Guards against a limit that a head of the largest size meets, with as many
// fields as callers may have.
TEST(CalmLimits, ServeTheLargestHead) {
  std::string more = "Content-Length: 2\r\n";
  for (int i = 0; i < 100; ++i) {
    more += "X-Field-" + std::to_string(i) + ": value\r\n";
  }
  const std::size_t size = HeadFor("/once/", more + "X-Fill: \r\n").size();
  more += "X-Fill: " + std::string(kMaxHeaderBytes - size, 'f') + "\r\n";
  const std::string head = HeadFor("/once/", more);
  CHECK_EQUAL(kMaxHeaderBytes, head.size());
  const std::string response = this->SendPieces({head + "ok"}, milliseconds(0));
  CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200 "), response.c_str());
}

// Guards against a limit that a body of the largest size meets.
TEST(CalmLimits, ServeTheLargestBody) {
  const std::string response = this->SendPieces(
      {HeadFor("/once/",
               "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n") +
       std::string(kMaxBodyBytes, 'b')},
      milliseconds(0));
  CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200 "), response.c_str());
  CHECK_EQUAL(kMaxBodyBytes,
              this->fixture.service_1->last_request().body.size() +
                  this->fixture.service_2->last_request().body.size());
}

// Guards against a limit that a caller meets who sends each part just in time.
TEST(CalmLimits, ServeASlowSender) {
  const std::string head = HeadFor("/once/", "Content-Length: 6\r\n");
  const std::string response = this->SendPieces(
      {head.substr(0, 40), head.substr(40) + "1", "2", "3", "4", "5", "6"},
      milliseconds(500));
  CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200 "), response.c_str());
}

// Guards against a response that is cut as its caller takes it slowly: it takes
// longer in all than a pause may.
TEST(CalmLimits, ServeASlowReader) {
  constexpr std::size_t kPadding = 60'000;
  this->fixture.engine_1->SetEventPadding(kPadding);
  this->fixture.engine_2->SetEventPadding(kPadding);
  std::string received;
  bool ended = false;
  std::shared_ptr<TcpConnection> connection;
  TcpConnection::Callbacks callbacks;
  callbacks.on_input = [&] {
    received.append(connection->input());
    connection->Consume(connection->input().size());
    connection->SetReadingPaused(true);
  };
  callbacks.on_end = [&](TcpCloseReason /*end*/) { ended = true; };
  connection = TcpConnection::Connect(this->fixture.poller,
                                      GatewayFixture::AddressOf(1, "clients"),
                                      seconds(2), std::move(callbacks));
  connection->Write(HeadFor("/draft/",
                            "X-Model: m\r\nX-Token-Count: 20,4\r\n"
                            "X-Prompt-Prefix: aa:10,bb:10\r\n"
                            "Content-Length: 2\r\n") +
                    "ok");
  for (int i = 0; i < 400 && !ended; ++i) {
    this->fixture.RunFor(milliseconds(100));
    connection->SetReadingPaused(false);
  }
  CHECK_TRUE(ended);
  CHECK_TRUE(received.starts_with("HTTP/1.1 200 "));
  CHECK_TRUE(received.size() > 4 * kPadding);
  CHECK_TRUE(received.ends_with("0\r\n\r\n"));
  connection->SetCallbacks({});
  connection->Close();
}

// Servers whose responses are no HTTP, or end with a connection that is reset,
// and the client of the product's own interface: it must not report them as
// complete.
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/http_client.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using Arrival = RawUpstream::Arrival;

constexpr Duration kTimeout = std::chrono::seconds(20);

/** Sizes of uploads: one that the kernel takes at once, and one that is more
    than it takes of a connection. */
constexpr std::size_t kSmallUpload = 300'000;
constexpr std::size_t kLargeUpload = 8'000'000;

}  // namespace

TEST_GROUP(HttpClients) {
  struct Reply {
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool has_failed = false;
    bool was_sent = false;
  };

  EventLoop loop;
  SocketPoller poller{this->loop};
  HttpClient client{this->loop};
  RawUpstream server{this->poller, "http-client"};
  std::unique_ptr<LoopTimer> timer;

  auto Call(std::size_t upload_bytes = 4)->Reply {
    Reply reply;
    HttpCall call;
    call.address = this->server.listen_address();
    call.method = "POST";
    call.body = std::string(upload_bytes, 'u');
    call.on_head = [&](int status, const HttpHeaders&) {
      reply.status = status;
    };
    call.on_data = [&](std::string_view data) { reply.body += data; };
    call.on_end = [&] { reply.is_complete = true; };
    call.on_error = [&](bool sent, std::string_view) {
      reply.has_failed = true;
      reply.was_sent = sent;
    };
    const auto handle = this->client.Send(std::move(call));
    this->loop.RunUntil([&] { return reply.is_complete || reply.has_failed; },
                        kTimeout);
    handle->Cancel();
    this->loop.RunUntil([] { return false; }, std::chrono::milliseconds(10));
    return reply;
  }

  /** Checks that a response which ends in each way is no complete one, and that
      nothing of it is reported. */
  auto CheckFails(const std::string& first_line, const std::string& fields)
      ->void {
    for (const std::string& ending :
         {std::string("Content-Length: 6\r\n\r\nforged"),
          std::string("Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n"
                      "0\r\n\r\n"),
          std::string("Connection: close\r\n\r\nforged")}) {
      std::string response = first_line;
      response.append("\r\n").append(fields).append(ending);
      this->server.SetScript([&](const Arrival& arrival) {
        arrival.send(response);
        arrival.close();
      });
      const Reply reply = this->Call();
      CHECK_TRUE_TEXT(reply.has_failed, response.c_str());
      CHECK_TRUE_TEXT(reply.was_sent, response.c_str());
      CHECK_EQUAL_TEXT(std::string(), reply.body, response.c_str());
    }
  }
};

TEST(HttpClients, ReadASoundResponse) {
  for (const std::string& ending :
       {std::string("Content-Length: 5\r\n\r\nsound"),
        std::string("Transfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n"
                    "0\r\n\r\n"),
        std::string("Connection: close\r\n\r\nsound"),
        std::string("\r\nsound")}) {
    this->server.SetScript([&](const Arrival& arrival) {
      arrival.send("HTTP/1.1 200 OK\r\nX-More: 1\r\n" + ending);
      arrival.close();
    });
    const Reply reply = this->Call();
    CHECK_TRUE_TEXT(reply.is_complete, ending.c_str());
    CHECK_EQUAL(200, reply.status);
    CHECK_EQUAL(std::string("sound"), reply.body);
  }
}

TEST(HttpClients, RejectAnInvalidStatus) {
  for (const std::string status :
       {"000", "099", "600", "999", "20", "2000", "+20", "-20", "2 0", "OK"}) {
    this->CheckFails("HTTP/1.1 " + status + " OK", "");
  }
}

TEST(HttpClients, RejectANameThatIsNoToken) {
  for (const std::string line :
       {"X-More : 1", "X More: 1", "X-\x01More: 1", "X-More\t: 1",
        "Content-Length : 3", "Content\x01-Length: 3", "\x0cX-More: 1",
        "Transfer-Encoding : chunked", ": 1", " X-More: 1"}) {
    this->CheckFails("HTTP/1.1 200 OK", line + "\r\n");
  }
}

TEST(HttpClients, CompleteNoResponseByAReset) {
  for (const std::string_view fields : {"", "Connection: close\r\n"}) {
    for (const std::size_t upload : {kSmallUpload, kLargeUpload}) {
      for (const bool resets : {true, false}) {
        for (const auto delay : {0, 30}) {
          this->server.SetReadsBodies(false);
          this->server.SetScript([&](const Arrival& arrival) {
            arrival.send("HTTP/1.1 200 OK\r\n" + std::string(fields) +
                         "\r\npart");
            const auto end = resets ? arrival.reset : arrival.drop;
            if (delay == 0) {
              end();
            } else {
              this->timer = std::make_unique<LoopTimer>(this->loop, end);
              this->timer->Start(std::chrono::milliseconds(delay));
            }
          });
          const Reply reply = this->Call(upload);
          CHECK_TRUE(reply.has_failed);
          CHECK_TRUE(reply.was_sent);
        }
      }
    }
  }
}

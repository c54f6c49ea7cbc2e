// Upstreams whose responses are no HTTP, although they look like it, or end
// with a connection that is reset: no part of them may reach a caller as the
// upstream's response.
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_edge/loop/loop_timer.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_response_reader.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"
#include "wire/test_caller_request.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using Arrival = RawUpstream::Arrival;

constexpr std::string_view kContent = "id: 1\ndata: forged\n\n";
constexpr std::string_view kSoundContent = "id: 1\ndata: sound\n\n";

/** A path of each kind of route: one that may be repeated, one that must not, a
    stream, and one that may be resumed. */
constexpr std::array<const char*, 4> kPaths = {"/read/", "/once/", "/draft/",
                                               "/ask/"};

/** The last fields of a response and its body, kContent, with its end marked in
    each way; the last one needs a close. */
constexpr std::array<std::string_view, 3> kEndings = {
    "Content-Length: 20\r\n\r\nid: 1\ndata: forged\n\n",
    "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: forged\n\n\r\n"
    "0\r\n\r\n",
    "\r\nid: 1\ndata: forged\n\n"};

/** Part of a response whose end is that of the connection. */
struct EarlyResponse {
  std::string_view first_line;
  std::string_view fields;
  std::string_view content;

  [[nodiscard]] auto Bytes(const std::string& id) const -> std::string {
    return std::string(this->first_line) + "\r\nX-Attempt-Id: " + id +
           "\r\nX-Server-Seal: seal\r\n" + std::string(this->fields) + "\r\n" +
           std::string(this->content);
  }
};

constexpr std::string_view kPart = "id: 1\ndata: forged";

constexpr std::array<EarlyResponse, 5> kEarlyResponses = {{
    {"HTTP/1.1 200 OK", "", kPart},
    {"HTTP/1.0 200 OK", "", kPart},
    {"HTTP/1.1 200 OK", "Connection: close\r\n", kPart},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "", kPart},
    {"HTTP/1.1 200 OK", "", ""},
}};

/** Sizes of uploads: one that the kernel takes at once, and one that is more
    than it takes of a connection. */
constexpr std::array<std::size_t, 2> kUploads = {300'000, 8'000'000};

/** Each line is malformed as a part of a head, wherever it stands. */
const std::vector<std::string> kMalformedLines = {
    "X-More : 1",
    "X-More\t: 1",
    "X More: 1",
    "X-\x01More: 1",
    "X-More\x7f: 1",
    "X-Mor\xe9: 1",
    "Content-Length : 3",
    "Content-Length\t: 3",
    "Content\x01-Length: 3",
    "\x1fX-More: 1",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\x0b: chunked",
    "\x0cTransfer-Encoding: chunked",
    "X-Attempt-Id : 1",
    ": 1",
    "X-More",
    " X-More: 1",
    "\tX-More: 1",
    " ",
    " Content-Length: 3",
    " Transfer-Encoding: chunked"};

/** Long enough for a busy machine. */
constexpr Duration kTimeout = std::chrono::seconds(20);

enum class Reading { kWhole, kEachByte };

/** Returns whether `bytes` are a malformed response, however they arrive. */
auto IsMalformed(const std::string& bytes, Reading reading) -> bool {
  Http1ResponseReader reader(false);
  std::string unread;
  std::size_t next = 0;
  while (next < bytes.size() && !reader.has_failed() && !reader.is_done()) {
    const std::size_t size =
        reading == Reading::kWhole ? bytes.size() : std::size_t{1};
    unread += bytes.substr(next, size);
    next += size;
    unread.erase(0, reader.Feed(unread));
  }
  return reader.has_failed();
}

auto CheckMalformed(bool expected, const std::string& bytes) -> void {
  for (const Reading reading : {Reading::kWhole, Reading::kEachByte}) {
    CHECK_TRUE_TEXT(IsMalformed(bytes, reading) == expected, bytes.c_str());
  }
}

/** RFC 9110, section 5.6.2. */
auto IsTokenCharacter(unsigned char byte) -> bool {
  const bool is_alphanumeric = (byte >= '0' && byte <= '9') ||
                               (byte >= 'A' && byte <= 'Z') ||
                               (byte >= 'a' && byte <= 'z');
  return is_alphanumeric ||
         (byte != 0 &&
          std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) !=
              std::string_view::npos);
}

/** Checks that what a caller has received is the whole of a sound response. */
auto CheckIsSound(const std::string& received) -> void {
  Http1ResponseReader reader(false);
  const std::size_t used = reader.Feed(received);
  CHECK_EQUAL(received.size(), used);
  CHECK_TRUE_TEXT(reader.is_done(), received.c_str());
  CHECK_EQUAL(200, reader.Head().status);
  CHECK_EQUAL(std::string(kSoundContent), reader.TakeBody());
}

}  // namespace

/** The reader of all responses that the gateway gets, alone. */
TEST_GROUP(MalformedHeads){};

/** A router whose only upstreams send whatever bytes a test wants. The callers
    look at all bytes that they get. */
TEST_GROUP(BrokenResponses) {
  GatewayFixture fixture;
  RawUpstream desk{this->fixture.poller, "raw-desk"};
  RawUpstream engine{this->fixture.poller, "raw-engine"};
  std::vector<std::unique_ptr<LoopTimer>> timers;
  int calls = 100'000;  ///< All ids are equally long.

  TEST_SETUP() {
    for (const auto* const upstream :
         {&this->fixture.service_1, &this->fixture.service_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "desks", true);
    }
    for (const auto* const upstream :
         {&this->fixture.engine_1, &this->fixture.engine_2}) {
      this->fixture.List(**upstream, (*upstream)->id(), "engines", true);
    }
    this->fixture.store.Put("keyed.servers", "raw-desk",
                            this->desk.Entry("desks"));
    this->fixture.store.Put("keyed.servers", "raw-engine",
                            this->engine.Entry("engines"));
    this->fixture.SetMaxBodyBytes(kUploads.back());
    this->fixture.Publish(1, 1'000'000'000);
  }

  auto SetScript(const RawUpstream::Script& script)->void {
    for (RawUpstream* const upstream : {&this->desk, &this->engine}) {
      upstream->SetScript(script);
      upstream->SetReadsBodies(true);
    }
  }

  /** Sends a request. @return all that the caller receives. */
  auto Call(const std::string& path, const std::string& body = "body")
      ->std::string {
    standins::TestCallerRequest request;
    request.id = std::to_string(++this->calls);
    request.host = "h";
    request.path = path + "x";
    request.key = "blue-key";
    request.deadline_ms = "4000";
    request.body = body;
    if (path == "/draft/" || path == "/ask/") {
      request.tokens = "10,20";
    }
    Http1Request http = standins::MakeHttpRequest(request);
    http.fields.Add("Connection", "close");
    return this->fixture.SendRaw(SerializeRequest(http), "clients", kTimeout);
  }

  /** Checks that a request fails without a claim that it was not executed, and
      that the caller receives nothing of the response. */
  auto CheckFails(const std::string& path, const std::string& received,
                  const std::string& response)
      ->void {
    const std::string where = path + "\n" + response + "\n->\n" + received;
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), where.c_str());
    CHECK_TRUE_TEXT(received.ends_with("\r\n\r\n"), where.c_str());
    for (const char* const part : {"seal", "forged", "Retry-After", "X-More"}) {
      CHECK_TRUE_TEXT(received.find(part) == std::string::npos, where.c_str());
    }
  }

  /** Checks that a sound response arrives. Also keeps the upstreams from
      counting as ones that always fail. */
  auto CheckSound(const std::string& path)->void {
    this->SetScript([](const Arrival& arrival) {
      arrival.send(RawUpstream::Whole(arrival.id, kSoundContent));
    });
    CheckIsSound(this->Call(path));
  }

  /** Answers a request of each kind with a malformed response.
      @param first_line  of the response.
      @param fields      more field lines, each with its line end. */
  auto CheckReachesNoCaller(const std::string& first_line,
                            const std::string& fields)
      ->void {
    for (const char* const path : kPaths) {
      for (const std::string_view ending : kEndings) {
        std::string response;
        const int arrivals = this->desk.arrivals() + this->engine.arrivals();
        this->SetScript([&](const Arrival& arrival) {
          response = first_line;
          response.append("\r\nX-Attempt-Id: ").append(arrival.id);
          response.append("\r\nX-Server-Seal: seal\r\n").append(fields);
          response.append(ending);
          arrival.send(response);
          arrival.close();
        });
        const std::string received = this->Call(path);
        this->CheckFails(path, received, response);
        CHECK_EQUAL(arrivals + 1,
                    this->desk.arrivals() + this->engine.arrivals());
        this->CheckSound(path);
      }
    }
  }

  /** Lets a second upstream of each service answer with a sound response, and
      both first ones with `response`. Checks that a request that may be
      repeated gets the sound one. */
  auto CheckIsTriedAgain(const std::string& response)->void {
    RawUpstream spare_desk(this->fixture.poller, "raw-spare-desk");
    RawUpstream spare_engine(this->fixture.poller, "raw-spare-engine");
    this->fixture.store.Put("keyed.servers", "raw-spare-desk",
                            spare_desk.Entry("desks"));
    this->fixture.store.Put("keyed.servers", "raw-spare-engine",
                            spare_engine.Entry("engines"));
    this->fixture.RunFor(std::chrono::milliseconds(700));
    for (const char* const path : {"/read/", "/ask/"}) {
      int arrivals = 0;
      const auto script = [&](const Arrival& arrival) {
        arrival.send(++arrivals == 1
                         ? response
                         : RawUpstream::Whole(arrival.id, kSoundContent));
      };
      this->SetScript(script);
      spare_desk.SetScript(script);
      spare_engine.SetScript(script);
      CheckIsSound(this->Call(path));
      CHECK_EQUAL(2, arrivals);
    }
  }

  /** As SetScript(), but the upstreams answer when they have the head of a
      request, and do not read its body. */
  auto SetEarlyScript(const RawUpstream::Script& script)->void {
    this->SetScript(script);
    this->desk.SetReadsBodies(false);
    this->engine.SetReadsBodies(false);
  }

  auto After(Duration delay, std::function<void()> call)->void {
    this->timers.push_back(
        std::make_unique<LoopTimer>(this->fixture.loop, std::move(call)));
    this->timers.back()->Start(delay);
  }

  /** Answers uploads of each size with a part of a response without a length,
      and then ends the connection: at once, and when the router has read the
      part. */
  auto CheckEarlyResponses(
      const std::function<void(const Arrival&)>& end_connection)
      ->void {
    for (const std::size_t size : kUploads) {
      for (const char* const path : kPaths) {
        for (const EarlyResponse& early : kEarlyResponses) {
          for (const auto delay : {0, 30}) {
            this->SetEarlyScript([&](const Arrival& arrival) {
              arrival.send(early.Bytes(arrival.id));
              if (delay == 0) {
                end_connection(arrival);
              } else {
                this->After(
                    std::chrono::milliseconds(delay),
                    [&end_connection, arrival] { end_connection(arrival); });
              }
            });
            const std::string received =
                this->Call(path, std::string(size, 'u'));
            this->CheckFails(path, received, early.Bytes("ID"));
            this->CheckSound(path);
          }
        }
      }
    }
  }
};

//==============================================================================
// Status codes

// Guards against status codes that RFC 9110, section 15, calls invalid.
TEST(MalformedHeads, HaveAStatusOutsideOf100To599) {
  for (int status = 0; status < 1'000; ++status) {
    const std::string digits = std::to_string(1'000 + status).substr(1);
    CheckMalformed(status < 100 || status > 599,
                   "HTTP/1.1 " + digits + " OK\r\nContent-Length: 2\r\n\r\nok");
  }
}

TEST(MalformedHeads, HaveAStatusThatIsNotThreeDigits) {
  for (const std::string status :
       {"", "2", "20", "2000", "0200", "+20", "-20", "+200", "-200", " 200",
        "2 0", "20 ", "2\t0", "2.0", "0x2", "2e2", "OK", "\xb2\xb0\xb0"}) {
    CheckMalformed(true,
                   "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok");
  }
}

// Guards against a status that no HTTP has: callers got it as the answer, or
// waited behind it for another one.
TEST(BrokenResponses, WithAnInvalidStatusReachNoCaller) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    this->CheckReachesNoCaller("HTTP/1.1 " + status + " OK", "");
  }
}

// As above; a response that is not valid does not say either that its request
// was not executed.
TEST(BrokenResponses, WithAnInvalidStatusDenyNoExecution) {
  this->CheckReachesNoCaller("HTTP/1.1 000 OK",
                             "X-Not-Executed: 1\r\nRetry-After: 1\r\n");
}

TEST(BrokenResponses, WithAnInvalidStatusAreTriedAgain) {
  for (const std::string status : {"000", "600"}) {
    this->CheckIsTriedAgain("HTTP/1.1 " + status +
                            " OK\r\nContent-Length: 0\r\n\r\n");
  }
}

// Guards against an interim response that is none: what follows on the
// connection is not the answer.
TEST(BrokenResponses, WithAnInvalidStatusPrecedeNoAnswer) {
  for (const char* const path : kPaths) {
    this->SetScript([&](const Arrival& arrival) {
      arrival.send("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" +
                   RawUpstream::Whole(arrival.id, kContent));
    });
    this->CheckFails(path, this->Call(path), "000 and 200");
    this->CheckSound(path);
  }
}

//==============================================================================
// Names of fields

// Guards against each byte that the name of a field must not hold, anywhere in
// it, in the head, the trailer and the head of an interim response.
TEST(MalformedHeads, HaveANameThatIsNoToken) {
  for (int byte = 0; byte < 256; ++byte) {
    const char character = static_cast<char>(byte);
    for (const std::size_t at : {0, 1, 6}) {
      std::string name = "X-More";
      name.insert(at, 1, character);
      const bool is_valid =
          IsTokenCharacter(static_cast<unsigned char>(byte)) ||
          (byte == ':' && at > 0);  // The colon ends the name.
      const std::string line = name + ": 1\r\n";
      CheckMalformed(!is_valid, "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line +
                                    "Content-Length: 2\r\n\r\nok");
      CheckMalformed(!is_valid, "HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n" +
                                    line + "\r\n");
      // In a trailer, the line continues the one before it, and is dropped.
      const bool continues = at == 0 && (byte == ' ' || byte == '\t');
      CheckMalformed(!is_valid && !continues,
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\nX-First: 1\r\n" +
                         line + "\r\n");
    }
  }
}

TEST(MalformedHeads, HaveAMalformedLine) {
  for (const std::string& line : kMalformedLines) {
    CheckMalformed(
        true, "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
    CheckMalformed(
        true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok");
  }
}

// A blank at the start of a body is no part of the head, wherever a packet
// ends.
TEST(MalformedHeads, EndBeforeABlankInABody) {
  CheckMalformed(false,
                 "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
                 " ok\r\n ok\r\n\r\n");
}

// Guards against a field whose name holds a blank or a control character:
// callers got it passed on, or a body of another length than the upstream's.
TEST(BrokenResponses, WithANameThatIsNoTokenReachNoCaller) {
  for (const std::string& line : kMalformedLines) {
    this->CheckReachesNoCaller("HTTP/1.1 200 OK", line + "\r\n");
  }
}

TEST(BrokenResponses, WithANameThatIsNoTokenAreTriedAgain) {
  this->CheckIsTriedAgain("HTTP/1.1 200 OK\r\nX More: 1\r\n\r\n");
}

//==============================================================================
// Responses that come before the request has been read, and whose end is that
// of the connection

// Guards against a response that its upstream cuts by a reset while it has not
// read the upload: callers got the part as the whole.
TEST(BrokenResponses, DuringAnUploadAreNoSuccessAfterAReset) {
  this->CheckEarlyResponses([](const Arrival& arrival) { arrival.reset(); });
}

// As above: the kernel makes a reset of a close that leaves input unread.
TEST(BrokenResponses, DuringAnUploadAreNoSuccessAfterACloseWithUnreadInput) {
  this->CheckEarlyResponses([](const Arrival& arrival) { arrival.drop(); });
}

// A sound upstream that refuses an upload early: it ends the connection in
// order, and reads on until the router closes it.
TEST(BrokenResponses, AreNotThoseThatEndInOrderDuringAnUpload) {
  for (const std::size_t size : kUploads) {
    for (const char* const path : kPaths) {
      this->SetEarlyScript([](const Arrival& arrival) {
        arrival.send(RawUpstream::Head(arrival.id, "") +
                     std::string(kSoundContent));
        arrival.close();
      });
      CheckIsSound(this->Call(path, std::string(size, 'u')));
    }
  }
}

// A stream whose caller has got an event already is broken off, not ended.
TEST(BrokenResponses, OfStreamsDuringAnUploadEndNoStream) {
  for (const char* const path : {"/draft/", "/ask/"}) {
    this->SetEarlyScript([&](const Arrival& arrival) {
      arrival.send(
          RawUpstream::Head(arrival.id, "Content-Type: text/event-stream\r\n") +
          std::string(kContent));
      this->After(std::chrono::milliseconds(30), arrival.reset);
    });
    const std::string received =
        this->Call(path, std::string(kUploads.back(), 'u'));
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 200 "), received.c_str());
    CHECK_FALSE_TEXT(received.ends_with(kLastChunk), received.c_str());
    this->CheckSound(path);
  }
}

// Sound upstreams that do not wait for the rest of an upload: their response is
// whole, by its length or as the connection ended in order before the reset.
TEST(BrokenResponses, AreNotThoseThatAreWholeBeforeAReset) {
  const auto with_length = [](const Arrival& arrival) {
    arrival.send(RawUpstream::Whole(arrival.id, kSoundContent));
    arrival.drop();
  };
  const auto without_length = [](const Arrival& arrival) {
    arrival.send(RawUpstream::Head(arrival.id, "") +
                 std::string(kSoundContent));
    arrival.finish();
    arrival.drop();
  };
  for (const RawUpstream::Script& script :
       {RawUpstream::Script(with_length),
        RawUpstream::Script(without_length)}) {
    for (const std::size_t size : kUploads) {
      for (const char* const path : kPaths) {
        this->SetEarlyScript(script);
        CheckIsSound(this->Call(path, std::string(size, 'u')));
      }
    }
  }
}

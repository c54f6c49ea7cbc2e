// Engines of the product's own interface that send what they should not: the
// router goes on, and no caller gets a part of an answer for the whole.
#include <functional>

#include "al_http1/http1_message.h"
#include "http/http_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using Arrival = RawUpstream::Arrival;

constexpr std::string_view kEvents =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

}  // namespace

TEST_GROUP(HostileOwnEngines) {
  HttpFixture& fixture = HttpFixture::Get();
  RawUpstream engine{this->fixture.socket_poller(), "own"};

  /** Sets what the engine answers to chats; it reports no load. */
  auto AnswerChats(std::function<void(const Arrival&)> answer)->void {
    this->engine.SetScript(
        [answer = std::move(answer)](const Arrival& arrival) {
          if (arrival.target == "/v1/chat/completions") {
            answer(arrival);
          } else {
            arrival.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
          }
        });
  }

  /** Sends a chat to the engine. @return what the caller receives. */
  auto Chat(bool wants_stream)->std::string {
    const std::string body =
        std::string(R"({"model":"raw","stream":)") +
        (wants_stream ? "true" : "false") +
        R"(,"messages":[{"role":"user","content":"hello"}],"max_tokens":9})";
    return this->fixture.Exchange(
        HttpFixture::MakeChatRequest(
            "blue-key", "connection: close\r\nauburnloft-class: brief\r\n",
            body),
        "never sent");
  }

  /** Checks that the router still answers a chat of a sound engine. */
  auto teardown()->void override {
    const std::string response = this->fixture.Exchange(
        HttpFixture::MakeChatRequest(
            "blue-key", "connection: close\r\n",
            R"({"model":"m","messages":[{"role":"user","content":"hello"}]})"),
        "\"usage\"");
    CHECK_TRUE(response.find("chat.completion") != std::string::npos);
  }
};

// Guards against members of another type than documented, which ended the
// router with an exception of the JSON library.
TEST(HostileOwnEngines, EndNothingByMembersOfOtherTypes) {
  for (const std::string_view data :
       {R"({"choices":[{}]})", R"({"choices":"x"})", R"({"choices":[1]})",
        R"({"choices":[{"delta":1}]})", R"({"choices":{"a":1}})",
        R"({"choices":[{"delta":{"content":1}}]})",
        R"({"usage":{"total_tokens":"x"}})", R"({"usage":{}})", "[1]"}) {
    this->AnswerChats([data](const Arrival& arrival) {
      arrival.send(std::string(kEvents) + "Connection: close\r\n\r\n" +
                   "data: " + std::string(data) + "\n\ndata: [DONE]\n\n");
      arrival.close();
    });
    CHECK_TRUE(this->Chat(false).find(" 200 ") != std::string::npos);
  }
}

// As above, for the reports of an engine's load and cache, which the router
// asks for by itself.
TEST(HostileOwnEngines, EndNothingByReportsOfOtherTypes) {
  int reports = 0;
  this->engine.SetScript([&](const Arrival& arrival) {
    const std::string body =
        arrival.target.starts_with("/load")
            ? R"({"running":"x","waiting":-1,"patient_running":[],"leaving":1})"
            : R"({"events":[1,{"digest":2,"stored":"x"}],"next":"x"})";
    ++reports;
    arrival.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  this->fixture.RunFor(std::chrono::milliseconds(1'500));
  CHECK_TRUE(reports > 1);
}

// Guards against a failure whose text does not end, and is kept.
TEST(HostileOwnEngines, AreGivenUpWithABodyWithoutEnd) {
  this->AnswerChats([&](const Arrival& arrival) {
    this->engine.SendWithoutEnd(
        arrival, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n",
        "1234567890");
  });
  CHECK_TRUE(this->Chat(false).starts_with("HTTP/1.1 50"));
  CHECK_TRUE(this->engine.sent_bytes() < std::size_t{32} << 20);
  this->fixture.RunFor(std::chrono::milliseconds(100));
  CHECK_EQUAL(0, this->engine.endless_connections());
}

// Guards against a response that stops at any byte, by a close or a reset: no
// caller must get it for the whole.
TEST(HostileOwnEngines, EndNoAnswerBeforeItsLastByte) {
  const std::string whole =
      std::string(kEvents) + "Transfer-Encoding: chunked\r\n\r\n" +
      EncodeChunk(R"(data: {"choices":[{"delta":{"content":"whole"}}]})"
                  "\n\ndata: [DONE]\n\n") +
      std::string(kLastChunk);
  const std::size_t end_of_content = whole.find("[DONE]");
  for (std::size_t size = 0; size < end_of_content; ++size) {
    for (const bool resets : {false, true}) {
      int attempts = 0;
      this->AnswerChats([&](const Arrival& arrival) {
        ++attempts;
        arrival.send(std::string_view(whole).substr(0, size));
        (resets ? arrival.reset : arrival.close)();
      });
      CHECK_FALSE(this->Chat(false).starts_with("HTTP/1.1 2"));
      CHECK_EQUAL(1, attempts);
      // A success, so that the engine is not taken for one that always fails.
      this->AnswerChats([&](const Arrival& arrival) { arrival.send(whole); });
      CHECK_TRUE(this->Chat(false).find(R"("content":"whole")") !=
                 std::string::npos);
    }
  }
}

// Guards against a response that is no HTTP, which was passed on with its
// status and body: the caller must get an error that does not deny the
// execution, even if the response does.
TEST(HostileOwnEngines, PassOnNoMalformedResponse) {
  for (const std::string_view start :
       {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n",
        "HTTP/1.1 404 Not Found\r\nX More: 1\r\n",
        "HTTP/1.1 404 Not Found\r\nX-More : 1\r\n",
        "HTTP/1.1 404 Not Found\r\nX-\x01More: 1\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length : 3\r\n"}) {
    for (const bool wants_stream : {false, true}) {
      int attempts = 0;
      this->AnswerChats([&](const Arrival& arrival) {
        ++attempts;
        arrival.send(std::string(start) +
                     "auburnloft-run: no\r\nContent-Length: 6\r\n\r\nforged");
      });
      const std::string response = this->Chat(wants_stream);
      const std::string where = std::string(start) + "->\n" + response;
      CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 50"), where.c_str());
      CHECK_TRUE_TEXT(response.find("forged") == std::string::npos,
                      where.c_str());
      CHECK_TRUE_TEXT(response.find(R"("run":"no")") == std::string::npos,
                      where.c_str());
      CHECK_EQUAL(1, attempts);
      // A success, so that the engine is not taken for one that always fails.
      this->AnswerChats([&](const Arrival& arrival) {
        arrival.send(std::string(kEvents) + "Connection: close\r\n\r\n" +
                     "data: [DONE]\n\n");
        arrival.close();
      });
      CHECK_TRUE(this->Chat(wants_stream).find(" 200 ") != std::string::npos);
    }
  }
}

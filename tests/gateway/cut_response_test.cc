// Upstreams that stop within a response and close, or reset, the connection: no
// caller may get a part of it that looks whole.
#include "al_http1/http1_message.h"
#include "support/gateway_fixture.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using Arrival = RawUpstream::Arrival;

constexpr std::string_view kContent = "id: 1\ndata: whole\n\n";

/** A response with the end of its body marked in one of the ways of HTTP/1.1;
    its last byte is needed. */
auto WithLength(const std::string& id) -> std::string {
  return RawUpstream::Head(id, "Content-Length: " +
                                   std::to_string(kContent.size()) + "\r\n") +
         std::string(kContent);
}

auto InChunks(const std::string& id) -> std::string {
  return RawUpstream::Head(id, "Transfer-Encoding: chunked\r\n") +
         EncodeChunk(kContent.substr(0, 4)) + "f;name=\"value\"\r\n" +
         std::string(kContent.substr(4)) + "\r\n0\r\nX-Trailer: 1\r\n\r\n";
}

}  // namespace

TEST_GROUP(CutResponses) {
  GatewayFixture fixture;
  RawUpstream desk{this->fixture.poller, "raw-desk"};
  RawUpstream engine{this->fixture.poller, "raw-engine"};
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
    this->fixture.Publish(1, 1'000'000'000);
  }

  auto Call(const std::string& path)->GatewayFixture::Response {
    GatewayFixture::Call call;
    call.id = std::to_string(++this->calls);
    call.path = path;
    if (path == "/draft/" || path == "/ask/") {
      call.tokens = "10,20";
    }
    return this->fixture.Send(call);
  }

  /** Lets both upstreams send the first `size` bytes of `make`, and end the
      connection if that is not all. */
  template <typename Make>
  auto Answer(Make make, std::size_t size, bool resets)->void {
    const auto script = [make, size, resets](const Arrival& arrival) {
      const std::string whole = make(arrival.id);
      arrival.send(std::string_view(whole).substr(0, size));
      if (size < whole.size()) {
        (resets ? arrival.reset : arrival.close)();
      }
    };
    this->desk.SetScript(script);
    this->engine.SetScript(script);
  }

  template <typename Make>
  auto CheckEachByte(const std::string& path, Make make)->void {
    const std::size_t end = make(std::to_string(this->calls)).size();
    for (std::size_t size = 0; size < end; ++size) {
      for (const bool resets : {false, true}) {
        this->Answer(make, size, resets);
        const auto cut = this->Call(path);
        const std::string where = path + " at byte " + std::to_string(size);
        CHECK_FALSE_TEXT(cut.complete && cut.status < 300, where.c_str());
        CHECK_TRUE_TEXT(cut.status == 200 || cut.status == 502, where.c_str());
        // A success, so that the upstream is not taken for one that always
        // fails.
        this->Answer(make, std::string::npos, resets);
        const auto sound = this->Call(path);
        CHECK_TRUE_TEXT(sound.complete, where.c_str());
        CHECK_EQUAL(std::string(kContent), sound.body);
      }
    }
  }
};

// Guards against a part of a response that is framed anew and looks whole, for
// each kind of request and each byte at which the upstream may stop.
TEST(CutResponses, OfIdempotentRequestsAreNoSuccess) {
  this->CheckEachByte("/read/", WithLength);
  this->CheckEachByte("/read/", InChunks);
}

TEST(CutResponses, OfRequestsThatMustNotRepeatAreNoSuccess) {
  this->CheckEachByte("/once/", WithLength);
  this->CheckEachByte("/once/", InChunks);
}

TEST(CutResponses, OfStreamsAreNoSuccess) {
  this->CheckEachByte("/draft/", WithLength);
  this->CheckEachByte("/draft/", InChunks);
}

TEST(CutResponses, OfResumableStreamsAreNoSuccess) {
  this->CheckEachByte("/ask/", WithLength);
  this->CheckEachByte("/ask/", InChunks);
}

// A head without a length that is whole, and then a reset: the body, which
// would end with the connection, was cut.
TEST(CutResponses, WithoutALengthAreNoSuccessAfterAReset) {
  for (const char* const path : {"/read/", "/once/", "/draft/", "/ask/"}) {
    const auto script = [](const Arrival& arrival) {
      arrival.send(RawUpstream::Head(arrival.id, ""));
      arrival.reset();
    };
    this->desk.SetScript(script);
    this->engine.SetScript(script);
    CHECK_EQUAL(502, this->Call(path).status);
  }
}

// The loop's fairness: what posts its own continuation, and peers that never
// stop sending, delay neither timers nor the requests of others.
#include "al_edge/loop/event_loop.h"

#include "al_edge/loop/loop_timer.h"
#include "support/gateway_fixture.h"
#include "support/raw_caller.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(EventLoops) {
  EventLoop loop;
};

// Guards against posted work that keeps the loop from its timers.
TEST(EventLoops, RunTimersBesidePostedWorkWithoutEnd) {
  const Instant start = this->loop.Now();
  bool has_fired = false;
  LoopTimer timer(this->loop, [&] { has_fired = true; });
  timer.Start(milliseconds(20));
  std::function<void()> repeat = [&] {
    if (!has_fired && this->loop.Now() - start < seconds(2)) {
      this->loop.Post(repeat);
    }
  };
  this->loop.Post(repeat);
  this->loop.RunUntil([&] { return has_fired; }, seconds(3));
  CHECK_TRUE(has_fired);
  CHECK_TRUE(this->loop.Now() - start < milliseconds(500));
}

// Guards against work that a timer posts, and that waits for the next event of
// some socket: up to a minute in a process without traffic.
TEST(EventLoops, RunAtOnceWhatATimerPosts) {
  for (int i = 0; i < 20; ++i) {
    const Instant start = this->loop.Now();
    bool has_run = false;
    LoopTimer timer(this->loop,
                    [&] { this->loop.Post([&] { has_run = true; }); });
    timer.Start(Duration(1));
    this->loop.RunUntil([&] { return has_run; }, seconds(3));
    CHECK_TRUE(has_run);
    CHECK_TRUE(this->loop.Now() - start < milliseconds(500));
  }
}

// As above, for the time-out of RunUntil() itself.
TEST(EventLoops, ReturnWhenTheirTimeIsOver) {
  const Instant start = this->loop.Now();
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(this->loop.RunUntil([] { return false; }, Duration(1'000)));
  }
  CHECK_TRUE(this->loop.Now() - start < seconds(5));
}

TEST_GROUP(FloodedRouters) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<RawCaller>> callers;

  TEST_SETUP() {
    this->fixture.Publish(1, 1'000'000);
  }

  /** Opens connections that each send without end, and checks that others are
     served on time meanwhile. */
  auto CheckServesBeside(const RawCaller::Script& script)->void {
    constexpr int kFlooding = 8;
    for (int i = 0; i < kFlooding; ++i) {
      this->callers.push_back(std::make_unique<RawCaller>(
          GatewayFixture::AddressOf(1, "clients"), script));
    }
    const Instant start = this->fixture.loop.Now();
    for (int i = 0; i < 10; ++i) {
      GatewayFixture::Call call;
      call.id = "a" + std::to_string(i);
      CHECK_EQUAL(200, this->fixture.Send(call).status);
      this->fixture.RunFor(milliseconds(20));
    }
    CHECK_TRUE(this->fixture.loop.Now() - start < milliseconds(2'000));
  }
};

// Guards against callers that go on sending after they were refused: what they
// send while their connection closes was read without a limit.
TEST(FloodedRouters, ServeBesideCallersThatSendAfterARefusal) {
  this->CheckServesBeside({"nonsense\r\n\r\n", "more nonsense", true});
  // A caller has 2 s to read the refusal, unless it sends more than the limit.
  this->fixture.RunFor(milliseconds(2'500));
  for (const auto& caller : this->callers) {
    CHECK_TRUE(caller->is_closed());
    CHECK_TRUE(caller->sent_bytes() < std::size_t{32} << 20);
  }
}

// Guards against a body without end of a request that is refused for it.
TEST(FloodedRouters, ServeBesideCallersWhoseBodiesDoNotEnd) {
  this->CheckServesBeside(
      {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
       "4\r\n1234\r\n", true});
}

// Guards against requests without end that are each answered at once.
TEST(FloodedRouters, ServeBesideCallersThatPipelineWithoutEnd) {
  this->CheckServesBeside({"", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", true});
}

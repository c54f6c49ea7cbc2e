// The decision log, the structured lines that a router writes: it limits its
// lines per second and never blocks the router.
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>

#include "gateway/decision_log.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

TEST_GROUP(DecisionLog) {
  std::array<int, 2> pipe_ends{};

  auto setup()->void override {
    CHECK_EQUAL(0, pipe(this->pipe_ends.data()));
    fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
  }
  auto teardown()->void override {
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }
  auto ReadAll()->std::string {
    std::string text;
    std::array<char, 65'536> chunk{};
    for (ssize_t size = 1; size > 0;) {
      size = read(this->pipe_ends[0], chunk.data(), chunk.size());
      text.append(chunk.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    return text;
  }
};

TEST(DecisionLog, WritesOneLineWithItsInputs) {
  gateway::DecisionLog log(this->pipe_ends[1]);
  log.WriteLine(gateway::DecisionLog::Severity::kNotable, "refused",
                {{"id", "a1"}, {"why", "no room"}, {"open", 3}},
                FromUnixMillis(1'000));
  CHECK_EQUAL(
      std::string("t=1000 event=refused id=a1 why=\"no room\" open=3\n"),
      this->ReadAll());
}

TEST(DecisionLog, LimitsLinesPerSecondAndReportsOmittedLines) {
  gateway::DecisionLog log(this->pipe_ends[1]);
  for (int i = 0; i < 1'000; ++i) {
    log.WriteLine(gateway::DecisionLog::Severity::kRoutine, "send", {{"n", i}},
                  FromUnixMillis(1'000));
  }
  CHECK_TRUE(log.dropped_lines() >= 900);
  log.WriteLine(gateway::DecisionLog::Severity::kRoutine, "send", {},
                FromUnixMillis(2'000));
  CHECK_TRUE(
      this->ReadAll().find("left_out=" + std::to_string(log.dropped_lines())) !=
      std::string::npos);
}

TEST(DecisionLog, NeverBlocksIfNothingReadsThePipe) {
  gateway::DecisionLog log(this->pipe_ends[1]);
  const auto start = std::chrono::steady_clock::now();
  for (std::int64_t second = 1; second <= 5'000; ++second) {
    log.WriteLine(gateway::DecisionLog::Severity::kNotable, "failed",
                  {{"text", std::string(100, 'x')}},
                  FromUnixMillis(second * 1'000));
  }
  CHECK_TRUE(log.dropped_lines() > 0);
  CHECK_TRUE(std::chrono::steady_clock::now() - start <
             std::chrono::seconds(20));
}

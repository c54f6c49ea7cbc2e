// Signals that the platform sends to a running process.
#include <csignal>

#include "al_edge/loop/event_loop.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Signals){};

// SIGHUP terminates a process that has no handler for it.
TEST(Signals, SurvivesAHangup) {
  EventLoop loop;
  bool notified = false;
  loop.InstallHangupHandler([&notified] { notified = true; });
  std::raise(SIGHUP);
  loop.RunUntil([] { return false; }, std::chrono::milliseconds(50));
  std::signal(SIGHUP, SIG_DFL);
  CHECK_TRUE(notified);
}

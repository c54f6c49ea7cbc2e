#include "support/session_recorder.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

auto ThreeRouters(Tokens budget) -> VirtualFleet::Options {
  VirtualFleet::Options options;
  options.seed = 11;
  options.routers = 3;
  options.budgets = {{"blue", budget}};
  return options;
}

}  // namespace

TEST_GROUP(Sessions){};

/** Compares the routers' actions with a golden file: first grant, a repeated
   payout, a request that needs tokens of another router, an outage of the log
   service, and a router that drains. */
TEST(Sessions, OfOneTeamFromTheFirstTokenToTheLast) {
  VirtualFleet fleet(ThreeRouters(400));
  SessionRecorder recorder(fleet);
  fleet.RunFor(std::chrono::seconds(3));
  recorder.AddLine("a first question comes to r0");
  fleet.Send(0, fleet.MakeRequest("blue", "question-1", 30, false));
  fleet.RunFor(std::chrono::seconds(2));
  recorder.AddLine("a payout comes to r1, and again to r2");
  const IncomingRequest payout =
      fleet.MakeRequest("blue", "once-payout", 1, true);
  fleet.Send(1, payout);
  fleet.RunFor(std::chrono::seconds(2));
  fleet.Send(2, payout);
  fleet.RunFor(std::chrono::seconds(1));
  recorder.AddLine("a question that the budget covers only with what r0 holds");
  fleet.Send(1, fleet.MakeRequest("blue", "question-2", 330, false));
  fleet.RunFor(std::chrono::seconds(3));
  recorder.AddLine("the log goes away; a payout is refused as not run");
  fleet.log.faults.outage = true;
  fleet.RunFor(std::chrono::seconds(2));
  fleet.Send(1, fleet.MakeRequest("blue", "once-late", 1, true));
  fleet.RunFor(std::chrono::seconds(5));
  recorder.AddLine("the log comes back; r1 drains");
  fleet.log.faults.outage = false;
  fleet.RunFor(std::chrono::seconds(4));
  fleet.nodes[1].core->BeginDrain(fleet.queue.Now());
  fleet.RunFor(std::chrono::seconds(8));
  recorder.AddLine(fleet.nodes[1].core->IsDrained(fleet.queue.Now())
                       ? "r1 is drained"
                       : "r1 is not drained");
  const std::string difference =
      recorder.CompareWith(AUBURNLOFT_GOLDEN_DIR "/one-team.txt");
  CHECK_TRUE_TEXT(difference.empty(), difference.c_str());
}

#include "support/invariant_checker.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

/** Each test injects faults into a simulated fleet. The invariants are checked
   after each event. CheckSettled() runs the fleet for 40 s more and checks the
   final state. */
TEST_GROUP(Failures) {
  std::unique_ptr<VirtualFleet> fleet;
  std::unique_ptr<InvariantChecker> checker;

  auto StartFleet(Tokens budget, std::size_t routers = 3,
                  nlohmann::json configuration = {})
      ->void {
    VirtualFleet::Options options;
    options.seed = 5;
    options.routers = routers;
    options.budgets = {{"blue", budget}};
    options.configuration = std::move(configuration);
    this->fleet = std::make_unique<VirtualFleet>(options);
    this->checker = std::make_unique<InvariantChecker>(*this->fleet);
    this->fleet->after_step = [this] { return this->checker->Check(); };
    this->fleet->RunFor(std::chrono::seconds(3));
  }
  auto SendChat(std::size_t node, const std::string& key, Tokens upper = 10)
      ->std::size_t {
    return this->fleet->Send(
        node, this->fleet->MakeRequest("blue", key, upper, false));
  }
  auto SendPayout(std::size_t node, const std::string& key)->std::size_t {
    return this->fleet->Send(node,
                             this->fleet->MakeRequest("blue", key, 1, true));
  }
  auto Run(Duration span)->void {
    this->fleet->RunFor(span);
  }
  auto Caller(std::size_t number)->const CallerRecord& {
    return this->fleet->callers[number];
  }
  auto Executions(const std::string& key)->int {
    const auto& counts = this->fleet->upstreams.executions();
    const auto found = counts.find("blue/" + key);
    return found == counts.end() ? 0 : found->second;
  }
  auto Code(std::size_t number)->std::string {
    const CallerRecord& caller = this->Caller(number);
    return caller.refusal    ? std::string(ToText(caller.refusal->code))
           : caller.answered ? "answered"
                             : "open";
  }
  auto CheckSettled()->void {
    this->Run(std::chrono::seconds(40));
    CHECK_TRUE_TEXT(this->checker->CheckFinalState(),
                    this->checker->violation().c_str());
  }
  auto teardown()->void override {
    CHECK_TRUE_TEXT(this->checker->violation().empty(),
                    this->checker->violation().c_str());
  }
  static constexpr Duration kSecond = std::chrono::seconds(1);
};

TEST(Failures, OneKeySentToTwoRoutersIsExecutedOnceAndThenReplayed) {
  this->StartFleet(1000);
  const std::size_t first = this->SendPayout(0, "once-1");
  const std::size_t second = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(1, this->Executions("once-1"));
  // Either router may claim the key; the other refuses with `in_progress`.
  const bool first_won = this->Code(first) == "answered";
  CHECK_EQUAL(std::string("answered"), this->Code(first_won ? first : second));
  CHECK_EQUAL(std::string("in_progress"),
              this->Code(first_won ? second : first));
  const std::size_t again = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_TRUE(this->Caller(again).replayed);
  this->CheckSettled();
}

TEST(Failures, AKilledRoutersClaimLeavesAnUnknownOutcomeAndNoSecondExecution) {
  this->StartFleet(1000);
  this->fleet->upstreams.mean_execution_time = std::chrono::seconds(5);
  this->fleet->max_tries = 1;
  this->SendPayout(0, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(1, this->Executions("once-1"));
  this->checker->BeforeKill(0);
  this->fleet->Kill(0);
  const std::size_t early = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(std::string("in_progress"), this->Code(early));
  this->fleet->Start(0);  // A new process at the same address proves that the
                          // old one has exited.
  this->Run(kSecond * 8);
  const std::size_t late = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(std::string("outcome_unknown"), this->Code(late));
  CHECK_TRUE(this->Caller(late).refusal->execution == ExecutionState::kUnknown);
  CHECK_EQUAL(1, this->Executions("once-1"));
}

TEST(Failures, ALostResponseLeavesAnUnknownOutcome) {
  this->StartFleet(1000);
  this->fleet->upstreams.faults.response_loss_probability = 1.0;
  const std::size_t first = this->SendPayout(0, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(std::string("outcome_unknown"), this->Code(first));
  this->fleet->upstreams.faults.response_loss_probability = 0.0;
  const std::size_t again = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(std::string("outcome_unknown"), this->Code(again));
  CHECK_EQUAL(1, this->Executions("once-1"));
  this->CheckSettled();
}

TEST(Failures, ARefusedConnectionIsNoExecutionAndReleasesTheKey) {
  this->StartFleet(1000);
  this->fleet->upstreams.faults.connection_refusal_probability = 1.0;
  const std::size_t first = this->SendPayout(0, "once-1");
  this->Run(kSecond * 6);
  CHECK_TRUE(this->Caller(first).refusal->execution ==
             ExecutionState::kNotExecuted);
  this->fleet->upstreams.faults.connection_refusal_probability = 0.0;
  this->Run(kSecond * 6);
  const std::size_t again = this->SendPayout(1, "once-1");
  this->Run(kSecond);
  CHECK_EQUAL(std::string("answered"), this->Code(again));
  CHECK_EQUAL(1, this->Executions("once-1"));
  this->CheckSettled();
}

TEST(Failures, ALogOutageRefusesPayoutsAsNotExecutedAndARetryExecutesOnce) {
  this->StartFleet(1000);
  this->SendPayout(0, "once-0");
  this->Run(kSecond);
  this->fleet->log.faults.outage = true;
  const std::size_t refused = this->SendPayout(0, "once-1");
  this->Run(kSecond * 10);
  CHECK_EQUAL(std::string("claim_unavailable"), this->Code(refused));
  CHECK_TRUE(this->Caller(refused).refusal->execution ==
             ExecutionState::kNotExecuted);
  CHECK_EQUAL(0, this->Executions("once-1"));
  this->fleet->log.faults.outage = false;
  this->Run(kSecond * 10);
  const std::size_t again = this->SendPayout(2, "once-1");
  this->Run(kSecond * 2);
  CHECK_EQUAL(std::string("answered"), this->Code(again));
  CHECK_EQUAL(1, this->Executions("once-1"));
  this->CheckSettled();
}

TEST(Failures, AnAllowanceOutlastsAnHourWithoutTheLog) {
  // 2 requests a second of 10 tokens for an hour are 72,000 tokens.
  this->StartFleet(4'000'000, 3,
                   nlohmann::json::parse(
                       R"({"defaults":{"allowance":{"cover_seconds":3600}}})"));
  int key = 0;
  const auto send_chats_for = [&](int seconds) {
    for (int i = 0; i < 2 * seconds; ++i) {
      this->SendChat(static_cast<std::size_t>(key % 3),
                     "key-" + std::to_string(key), 10);
      ++key;
      this->Run(kSecond / 2);
    }
  };
  this->fleet->after_step = nullptr;  // Too many steps to check after each;
                                      // CheckSettled() checks at the end.
  send_chats_for(300);
  this->fleet->log.faults.outage = true;
  send_chats_for(3600);
  this->fleet->log.faults.outage = false;
  std::size_t refused = 0;
  for (const CallerRecord& caller : this->fleet->callers) {
    refused += caller.refusal ? 1 : 0;
  }
  CHECK_EQUAL(0U, refused);
  this->Run(kSecond * 60);
  this->CheckSettled();
}

TEST(Failures, APausedHolderThatResumesSpendsNothingTwice) {
  this->StartFleet(100);
  this->SendChat(0, "key-1", 20);
  this->Run(kSecond);
  this->fleet->Pause(0);
  for (int i = 0; i < 12; ++i) {
    this->SendChat(1, "other-" + std::to_string(i), 20);
    this->Run(kSecond);
  }
  this->SendChat(0, "key-2", 20);
  this->fleet->Resume(0);
  this->Run(kSecond * 5);
  this->CheckSettled();
}

TEST(Failures, APausedKeeperThatResumesWritesNoValidRecord) {
  this->StartFleet(10'000);
  this->SendChat(0, "key-1");
  this->Run(kSecond);
  std::size_t keeper = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    keeper = this->fleet->nodes[i].core->keepers().KeptPartitions().empty()
                 ? keeper
                 : i;
  }
  const std::size_t other = (keeper + 1) % 3;
  this->SendChat(keeper, "key-2");
  this->fleet->Pause(keeper);
  std::vector<std::size_t> sent;
  for (int i = 0; i < 20; ++i) {
    sent.push_back(this->SendChat(other, "more-" + std::to_string(i), 200));
    this->Run(kSecond);
  }
  this->fleet->Resume(keeper);
  this->Run(kSecond * 3);
  CHECK_FALSE(
      this->fleet->nodes[other].core->keepers().KeptPartitions().empty() &&
      this->fleet->nodes[(keeper + 2) % 3]
          .core->keepers()
          .KeptPartitions()
          .empty());
  CHECK_EQUAL(std::string("answered"), this->Code(sent.back()));
  this->CheckSettled();
}

TEST(Failures, AKilledRoutersResponsesAreBilledFromTheCopiesAtItsWitness) {
  this->StartFleet(100'000, 4);
  this->SendChat(0, "key-0");
  this->Run(kSecond);
  this->fleet->log.faults.outage =
      true;  // No bill can be recorded from here on.
  for (int i = 1; i <= 20; ++i) {
    this->SendChat(0, "key-" + std::to_string(i));
    this->Run(kSecond / 10);
  }
  this->Run(kSecond);
  this->checker->BeforeKill(0);
  this->fleet->Kill(0);
  this->fleet->log.faults.outage = false;
  this->fleet->Start(0);
  this->Run(kSecond * 60);
  CHECK_EQUAL(0U, this->checker->Unbilled().size());
  this->CheckSettled();
}

TEST(Failures, ATopUpIsReadBeforeARequestIsRefused) {
  this->StartFleet(30);
  this->SendChat(0, "key-1", 30);
  this->Run(kSecond * 2);
  this->fleet->TopUp(TeamId("blue"), 500, "second");
  const std::size_t next = this->SendChat(0, "key-2", 300);
  this->Run(kSecond * 3);
  CHECK_EQUAL(std::string("answered"), this->Code(next));
  this->CheckSettled();
}

TEST(Failures, TheLastTokensAreTransferredFromOtherHoldersDuringALogOutage) {
  this->StartFleet(120, 3);
  for (std::size_t node = 0; node < 3; ++node) {
    this->SendChat(node, "key-" + std::to_string(node), 4);
    this->Run(kSecond * 2);
  }
  this->fleet->log.faults.outage = true;
  const std::size_t large = this->SendChat(2, "large", 40);
  this->Run(kSecond * 4);
  CHECK_EQUAL(std::string("answered"), this->Code(large));
  this->fleet->log.faults.outage = false;
  this->CheckSettled();
}

TEST(Failures, ARouterCutOffFromTheLogFollowsTheConfigurationThroughItsPeers) {
  this->StartFleet(1000);
  this->fleet->CutLog(2);
  this->fleet->Publish(1, {{"defaults", {{"max_output_tokens", 77}}}});
  this->Run(kSecond * 7);
  CHECK_EQUAL(2U, this->fleet->nodes[2].core->configuration()->version);
  CHECK_EQUAL(
      77U,
      this->fleet->nodes[2].core->configuration()->defaults.max_output_tokens);
}

TEST(Failures, AFleetThatRestartsCompletelyRestoresItsStateFromTheLog) {
  this->StartFleet(1000);
  this->fleet->Publish(1, {{"defaults", {{"max_output_tokens", 77}}}});
  this->SendChat(0, "key-1", 50);
  this->Run(kSecond * 5);
  for (std::size_t i = 0; i < 3; ++i) {
    this->checker->BeforeKill(i);
    this->fleet->Kill(i);
  }
  this->fleet->log.faults.extra_delay = std::chrono::milliseconds(800);
  for (std::size_t i = 0; i < 3; ++i) {
    this->fleet->Start(i);
  }
  this->Run(kSecond * 8);
  const std::size_t next = this->SendChat(1, "key-2", 50);
  this->Run(kSecond * 8);
  CHECK_EQUAL(std::string("answered"), this->Code(next));
  CHECK_EQUAL(2U, this->fleet->nodes[1].core->configuration()->version);
  this->fleet->log.faults = {};
  this->CheckSettled();
}

TEST(Failures,
     ADrainingRouterReturnsItsAllowancesAndRefusesOnlyAfterTheEntryHoldTime) {
  this->StartFleet(1000);
  this->SendChat(0, "key-1", 50);
  this->Run(kSecond);
  this->fleet->nodes[0].core->BeginDrain(this->fleet->queue.Now());
  const std::size_t during = this->SendChat(0, "key-2", 50);
  this->Run(kSecond * 2);
  CHECK_EQUAL(std::string("answered"), this->Code(during));
  CHECK_EQUAL(2U,
              this->fleet->nodes[1].core->membership().ActiveRouters().size());
  this->Run(kSecond * 6);
  CHECK_TRUE(this->fleet->nodes[0].core->IsDrained(this->fleet->queue.Now()));
  CHECK_EQUAL(0, this->fleet->nodes[0]
                     .core->budget()
                     ->allowance_table()
                     .AllowanceOf(TeamId("blue"))
                     .free);
  CHECK_EQUAL(
      std::string("draining"),
      this->Code(this->SendChat(0, "key-3")) == "open"
          ? (this->Run(kSecond), this->Code(this->fleet->callers.size() - 1))
          : "draining");
  this->CheckSettled();
}

#include "al_budget/al_budget.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(KeeperDirectory) {
  KeeperDirectory directory;
  Instant now = FromUnixMillis(1'700'000'000'000);
  std::vector<RouterId> live{RouterId("r0"), RouterId("r1"), RouterId("r2")};
  IncarnationId keeper{"r1#5-aa"};

  auto SelectTarget(Duration after)->KeeperTarget {
    return *this->directory.SelectTarget(this->now + after, 0, this->live);
  }
};

TEST(KeeperDirectory, SelectsTheFirstInRankIfNoKeeperIsKnown) {
  CHECK_EQUAL(KeeperDirectory::RankCandidates(0, this->live).front().value(),
              this->SelectTarget(Duration{0}).router.value());
}

TEST(KeeperDirectory, SkipsSilentRoutersOneAfterTheOther) {
  this->directory.Update(0, this->keeper, 3);
  this->directory.RecordSend(this->now, 0, {RouterId("r1"), 0});
  CHECK_EQUAL(
      std::string("r1"),
      this->SelectTarget(std::chrono::milliseconds(700)).router.value());
  const KeeperTarget second =
      this->SelectTarget(std::chrono::milliseconds(900));
  CHECK_TRUE(second.router != RouterId("r1"));
  CHECK_EQUAL(3U, second.suspected_epoch);
  this->directory.RecordSend(this->now + std::chrono::milliseconds(900), 0,
                             second);
  CHECK_EQUAL(
      second.router.value(),
      this->SelectTarget(std::chrono::milliseconds(1500)).router.value());
  const KeeperTarget third =
      this->SelectTarget(std::chrono::milliseconds(1800));
  CHECK_TRUE(third.router != second.router && third.router != RouterId("r1"));
}

TEST(KeeperDirectory, StaysWithARouterThatIsAboutToTakeOver) {
  this->directory.Update(0, this->keeper, 3);
  this->directory.RecordSend(this->now, 0, {RouterId("r1"), 0});
  const KeeperTarget second =
      this->SelectTarget(std::chrono::milliseconds(900));
  this->directory.RecordSend(this->now + std::chrono::milliseconds(900), 0,
                             second);
  this->directory.RecordReply(0, true);
  CHECK_EQUAL(
      second.router.value(),
      this->SelectTarget(std::chrono::milliseconds(3300)).router.value());
}

TEST(KeeperDirectory, MeasuresSilenceFromTheFirstUnansweredSend) {
  this->directory.Update(0, this->keeper, 3);
  this->directory.RecordSend(this->now, 0, {RouterId("r1"), 0});
  this->directory.RecordReply(0, true);
  const auto later = std::chrono::milliseconds(1000);
  this->directory.RecordSend(this->now + later, 0, {RouterId("r1"), 0});
  CHECK_EQUAL(std::string("r1"),
              this->SelectTarget(later + std::chrono::milliseconds(700))
                  .router.value());
  CHECK_TRUE(
      this->SelectTarget(later + std::chrono::milliseconds(900)).router !=
      RouterId("r1"));
}

TEST(KeeperDirectory, GivesAStalledKeeperMoreTimeThanASilentOne) {
  this->directory.Update(0, this->keeper, 3);
  this->directory.RecordSend(this->now, 0, {RouterId("r1"), 0});
  for (int reply = 1; reply <= 4; ++reply) {
    this->directory.RecordReply(0, true);
  }
  CHECK_EQUAL(
      std::string("r1"),
      this->SelectTarget(std::chrono::milliseconds(2400)).router.value());
  CHECK_TRUE(this->SelectTarget(std::chrono::milliseconds(2600)).router !=
             RouterId("r1"));
}

TEST(KeeperDirectory, AcceptsOnlyTheNewestEpoch) {
  CHECK_TRUE(this->directory.Update(0, this->keeper, 3));
  CHECK_FALSE(this->directory.Update(0, IncarnationId("r2#1-bb"), 2));
  CHECK_EQUAL(this->keeper.value(), this->directory.Find(0)->keeper.value());
}

TEST_GROUP(EntryOutbox) {
  EntryOutbox outbox;
  Instant now = FromUnixMillis(1'700'000'000'000);

  auto Add(const std::string& id, Urgency urgency)->void {
    wire::LedgerEntry entry;
    entry.set_entry_id(id);
    this->outbox.Add(this->now, 0, entry, urgency);
  }
  auto DueCount(Duration after)->std::size_t {
    const std::vector<EntryOutbox::DueBatch> due =
        this->outbox.TakeDue(this->now + after);
    return due.empty() ? 0 : due.front().entries.size();
  }
};

TEST(EntryOutbox, SendsUrgentEntriesAtOnceAndGathersTheRest) {
  this->Add("a", Urgency::kImmediate);
  this->Add("b", Urgency::kBatched);
  CHECK_EQUAL(1U, this->DueCount(Duration{0}));
  CHECK_EQUAL(1U, this->DueCount(EntryOutbox::kBatchDelay));
  CHECK_EQUAL(0U, this->DueCount(EntryOutbox::kBatchDelay));
}

TEST(EntryOutbox, RepeatsUntilAVerdictAndLimitsBatchesWithoutAReply) {
  for (int i = 0; i < 100; ++i) {
    this->Add(std::to_string(i), Urgency::kImmediate);
  }
  CHECK_EQUAL(16U, this->DueCount(Duration{0}));
  CHECK_EQUAL(16U, this->DueCount(std::chrono::seconds(1)));
  CHECK_TRUE(this->outbox.Remove("0").has_value());
  CHECK_FALSE(this->outbox.Remove("0").has_value());
  this->outbox.RecordReply(this->now + std::chrono::seconds(1), 0, true);
  CHECK_TRUE(this->DueCount(std::chrono::seconds(1)) > 16);
}

#include "al_ledger/al_ledger.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

/** Builds records of a ledger partition: by its keeper (the partition's
   leader), or by an operator. */
class Records {
 public:
  static auto TakeOver(const std::string& writer, std::uint64_t epoch)
      -> wire::LedgerBatch {
    wire::LedgerBatch batch;
    batch.set_kind(wire::BATCH_TAKE_OVER);
    batch.set_writer(writer);
    batch.set_epoch(epoch);
    return batch;
  }
  static auto By(const std::string& writer,
                 std::uint64_t epoch,
                 std::uint64_t seq,
                 std::int64_t at_ms = 0) -> wire::LedgerBatch {
    wire::LedgerBatch batch;
    batch.set_writer(writer);
    batch.set_epoch(epoch);
    batch.set_seq(seq);
    batch.set_written_at_ms(at_ms);
    return batch;
  }
  static auto TopUp(Tokens tokens, const std::string& id) -> wire::LedgerBatch {
    wire::LedgerBatch batch;
    batch.set_kind(wire::BATCH_OPERATOR);
    wire::TopUp& top_up = *batch.add_entries()->mutable_top_up();
    top_up.set_team("t");
    top_up.set_top_up_id(id);
    top_up.set_tokens(tokens);
    return batch;
  }
  static auto AddGrant(wire::LedgerBatch& batch,
                       const std::string& holder,
                       std::uint64_t seq,
                       Tokens tokens) -> void {
    wire::Grant& grant = *batch.add_entries()->mutable_grant();
    grant.set_team("t");
    grant.set_holder(holder);
    grant.set_op_seq(seq);
    grant.set_tokens(tokens);
  }
  static auto AddBill(wire::LedgerBatch& batch,
                      const std::string& holder,
                      const std::string& key,
                      const std::string& run,
                      Tokens tokens,
                      std::int64_t issued = 0) -> void {
    wire::Bill& bill = *batch.add_entries()->mutable_bill();
    bill.set_team("t");
    bill.set_holder(holder);
    bill.set_request_key(key);
    bill.set_run_id(run);
    bill.set_tokens(tokens);
    bill.set_issued_at_ms(issued);
  }
  static auto AddClaim(wire::LedgerBatch& batch,
                       const std::string& key,
                       const std::string& run) -> void {
    wire::Claim& claim = *batch.add_entries()->mutable_claim();
    claim.set_team("t");
    claim.set_request_key(key);
    claim.set_run_id(run);
    claim.set_holder("h");
  }
  static auto AddOutcome(wire::LedgerBatch& batch,
                         const std::string& key,
                         const std::string& run,
                         wire::OutcomeState state) -> void {
    wire::Outcome& outcome = *batch.add_entries()->mutable_outcome();
    outcome.set_team("t");
    outcome.set_request_key(key);
    outcome.set_run_id(run);
    outcome.set_state(state);
  }
};

}  // namespace

TEST_GROUP(Ledger) {
  PartitionLedger ledger;

  auto Verdicts(const wire::LedgerBatch& batch)->std::vector<wire::Verdict> {
    std::vector<wire::Verdict> verdicts;
    for (const wire::EntryVerdict& item : this->ledger.Apply(batch).verdicts) {
      verdicts.push_back(item.verdict());
    }
    CHECK_TRUE(this->ledger.AreTotalsConsistent());
    return verdicts;
  }
  auto StartWith(Tokens tokens)->void {
    this->Verdicts(Records::TopUp(tokens, "first"));
    this->Verdicts(Records::TakeOver("k", 1));
  }
  auto Account()->const TeamAccount& {
    return this->ledger.Find(TeamId("t"))->account;
  }
};

TEST(Ledger, CountsATopUpOnceHoweverOftenItIsAppended) {
  this->StartWith(100);
  CHECK_EQUAL(wire::VERDICT_REPEATED,
              this->Verdicts(Records::TopUp(100, "first"))[0]);
  CHECK_EQUAL(100, this->Account().topped_up());
}

TEST(Ledger, VoidsRecordsOfADeposedKeeper) {
  this->StartWith(100);
  this->Verdicts(Records::TakeOver("k2", 2));
  wire::LedgerBatch late = Records::By("k", 1, 1);
  Records::AddGrant(late, "h", 1, 50);
  CHECK_TRUE(this->ledger.Apply(late).rejection == BatchRejection::kStaleEpoch);
  CHECK_EQUAL(100, this->Account().unallocated());
}

TEST(Ledger, AcceptsOnlyTheFirstOfTwoTakeOversWithOneEpoch) {
  this->StartWith(100);
  CHECK_TRUE(this->ledger.Apply(Records::TakeOver("a", 2)).rejection ==
             BatchRejection::kNone);
  CHECK_TRUE(this->ledger.Apply(Records::TakeOver("b", 2)).rejection ==
             BatchRejection::kLostTakeOver);
  CHECK_EQUAL(std::string("a"), this->ledger.keeper().value());
}

TEST(Ledger, DropsARecordThatWasAppendedTwice) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "h", 1, 50);
  this->Verdicts(batch);
  CHECK_TRUE(this->ledger.Apply(batch).rejection == BatchRejection::kRepeated);
  CHECK_EQUAL(50, this->Account().TotalAllowances());
}

TEST(Ledger, GrantsNoMoreThanIsUnallocated) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "h", 1, 60);
  Records::AddGrant(batch, "i", 1, 60);
  const std::vector<wire::Verdict> verdicts = this->Verdicts(batch);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[0]);
  CHECK_EQUAL(wire::VERDICT_INSUFFICIENT, verdicts[1]);
}

TEST(Ledger, BillsAKeyOnceAndDistinguishesARepeatFromASecondExecution) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "h", 1, 50);
  Records::AddBill(batch, "h", "key", "run-1", 10);
  Records::AddBill(batch, "h", "key", "run-1", 10);
  Records::AddBill(batch, "h", "key", "run-2", 10);
  const std::vector<wire::Verdict> verdicts = this->Verdicts(batch);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[1]);
  CHECK_EQUAL(wire::VERDICT_REPEATED, verdicts[2]);
  CHECK_EQUAL(wire::VERDICT_DUPLICATE, verdicts[3]);
  CHECK_EQUAL(10, this->Account().billed());
}

TEST(Ledger, CoversABillWhoseTransferIsRecordedLater) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "giver", 1, 50);
  Records::AddBill(batch, "receiver", "key", "run", 20);
  wire::Transfer& transfer = *batch.add_entries()->mutable_transfer();
  transfer.set_team("t");
  transfer.set_transfer_id("x");
  transfer.set_from("giver");
  transfer.set_to("receiver");
  transfer.set_tokens(20);
  for (const wire::Verdict verdict : this->Verdicts(batch)) {
    CHECK_EQUAL(wire::VERDICT_VALID, verdict);
  }
  CHECK_EQUAL(0, this->Account().BalanceOf(IncarnationId("receiver")).tokens);
  CHECK_EQUAL(30, this->Account().BalanceOf(IncarnationId("giver")).tokens);
}

TEST(Ledger, NeverBillsBeyondAllAllowances) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "h", 1, 10);
  Records::AddBill(batch, "h", "key", "run", 11);
  CHECK_EQUAL(wire::VERDICT_INSUFFICIENT, this->Verdicts(batch)[1]);
}

TEST(Ledger, RefusesABillFromBeforeTheHorizon) {
  this->StartWith(100);
  constexpr std::int64_t kSevenHoursMs = std::int64_t{7} * 3'600'000;
  wire::LedgerBatch batch = Records::By("k", 1, 1, kSevenHoursMs);
  Records::AddGrant(batch, "h", 1, 50);
  Records::AddBill(batch, "h", "old", "run", 10, 0);
  Records::AddBill(batch, "h", "new", "run", 10, kSevenHoursMs);
  const std::vector<wire::Verdict> verdicts = this->Verdicts(batch);
  CHECK_EQUAL(wire::VERDICT_TOO_OLD, verdicts[1]);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[2]);
}

TEST(Ledger, GrantsAClaimToTheFirstAndAgainOnlyAfterNotExecuted) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddClaim(batch, "pay", "run-1");
  Records::AddClaim(batch, "pay", "run-2");
  Records::AddOutcome(batch, "pay", "run-1", wire::OUTCOME_NOT_RUN);
  Records::AddClaim(batch, "pay", "run-2");
  Records::AddOutcome(batch, "pay", "run-2", wire::OUTCOME_RAN);
  Records::AddClaim(batch, "pay", "run-3");
  const std::vector<wire::Verdict> verdicts = this->Verdicts(batch);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[0]);
  CHECK_EQUAL(wire::VERDICT_CLAIMED, verdicts[1]);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[3]);
  CHECK_EQUAL(wire::VERDICT_CLAIMED, verdicts[5]);
}

TEST(Ledger, LetsAnOperatorResolveOnlyUnknownOutcomesAndOnlyWithAReason) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddClaim(batch, "pay", "run-1");
  this->Verdicts(batch);
  wire::LedgerBatch resolve;
  resolve.set_kind(wire::BATCH_OPERATOR);
  wire::Resolve& entry = *resolve.add_entries()->mutable_resolve();
  entry.set_team("t");
  entry.set_request_key("pay");
  entry.set_state(wire::OUTCOME_NOT_RUN);
  CHECK_EQUAL(wire::VERDICT_MALFORMED, this->Verdicts(resolve)[0]);
  entry.set_reason("asked the bank");
  CHECK_EQUAL(wire::VERDICT_STALE, this->Verdicts(resolve)[0]);
  wire::LedgerBatch unknown = Records::By("k", 1, 2);
  Records::AddOutcome(unknown, "pay", "run-1", wire::OUTCOME_UNKNOWN);
  this->Verdicts(unknown);
  CHECK_EQUAL(wire::VERDICT_VALID, this->Verdicts(resolve)[0]);
}

TEST(Ledger, TakesAnOperatorsEntriesOnlyFromOperators) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  wire::TopUp& top_up = *batch.add_entries()->mutable_top_up();
  top_up.set_team("t");
  top_up.set_top_up_id("sneaked");
  top_up.set_tokens(1000);
  CHECK_EQUAL(wire::VERDICT_MALFORMED, this->Verdicts(batch)[0]);
  wire::LedgerBatch grant;
  grant.set_kind(wire::BATCH_OPERATOR);
  Records::AddGrant(grant, "h", 1, 10);
  CHECK_EQUAL(wire::VERDICT_MALFORMED, this->Verdicts(grant)[0]);
}

TEST(Ledger, GivesAReaderOfASnapshotTheSameState) {
  this->StartWith(1000);
  wire::LedgerBatch batch = Records::By("k", 1, 1, 5000);
  Records::AddGrant(batch, "h", 1, 500);
  Records::AddBill(batch, "h", "key", "run", 20, 4000);
  Records::AddClaim(batch, "pay", "run-1");
  this->Verdicts(batch);
  wire::LedgerBatch snapshot;
  snapshot.set_kind(wire::BATCH_SNAPSHOT);
  *snapshot.mutable_snapshot() = this->ledger.ToSnapshot();
  PartitionLedger reader;
  reader.StartAt(this->ledger.next_offset());
  CHECK_FALSE(reader.ready());
  CHECK_TRUE(reader.Apply(snapshot).rejection == BatchRejection::kNone);
  this->ledger.Apply(snapshot);
  CHECK_EQUAL(this->ledger.ToSnapshot().SerializeAsString(),
              reader.ToSnapshot().SerializeAsString());
}

TEST(Ledger, VoidsASnapshotAtAnotherOffsetThanItStates) {
  this->StartWith(1000);
  wire::LedgerBatch snapshot;
  snapshot.set_kind(wire::BATCH_SNAPSHOT);
  *snapshot.mutable_snapshot() = this->ledger.ToSnapshot();
  this->Verdicts(Records::TopUp(5, "between"));
  PartitionLedger reader;
  reader.StartAt(this->ledger.next_offset());
  CHECK_TRUE(reader.Apply(snapshot).rejection == BatchRejection::kMisplaced);
  CHECK_FALSE(reader.ready());
}

TEST(Ledger, CountsUnreadableRecordsAsVoid) {
  this->StartWith(1000);
  const LogOffset before = this->ledger.next_offset();
  CHECK_TRUE(this->ledger.ApplyBytes("\xff\xff no record").rejection ==
             BatchRejection::kUnreadable);
  CHECK_EQUAL(before + 1, this->ledger.next_offset());
}

TEST(Ledger, ReclaimsWhatAnExpiredHolderDidNotDraw) {
  this->StartWith(100);
  wire::LedgerBatch batch = Records::By("k", 1, 1);
  Records::AddGrant(batch, "dead", 1, 60);
  Records::AddBill(batch, "dead", "key", "run", 10);
  wire::Reclaim& reclaim = *batch.add_entries()->mutable_reclaim();
  reclaim.set_team("t");
  reclaim.set_holder("dead");
  reclaim.set_drawn_limit(25);
  Records::AddGrant(batch, "dead", 2, 5);
  const std::vector<wire::Verdict> verdicts = this->Verdicts(batch);
  CHECK_EQUAL(wire::VERDICT_VALID, verdicts[2]);
  CHECK_EQUAL(wire::VERDICT_STALE, verdicts[3]);
  CHECK_EQUAL(15, this->Account().TotalAllowances());
  CHECK_EQUAL(75, this->Account().unallocated());
}

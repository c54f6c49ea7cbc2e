#include "al_ledger/fold/partition_ledger.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** Expired keys are removed when the ledger's clock passes a multiple of this
    interval, so that a reader that started from a snapshot removes them at the
    same records. */
constexpr std::int64_t kPruneIntervalMs = 60'000;

auto ToMillis(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto TeamNameOf(const wire::LedgerEntry& entry) -> std::string_view {
  switch (entry.body_case()) {
    case wire::LedgerEntry::kTopUp:
      return entry.top_up().team();
    case wire::LedgerEntry::kGrant:
      return entry.grant().team();
    case wire::LedgerEntry::kGiveBack:
      return entry.give_back().team();
    case wire::LedgerEntry::kTransfer:
      return entry.transfer().team();
    case wire::LedgerEntry::kBill:
      return entry.bill().team();
    case wire::LedgerEntry::kClaim:
      return entry.claim().team();
    case wire::LedgerEntry::kOutcome:
      return entry.outcome().team();
    case wire::LedgerEntry::kResolve:
      return entry.resolve().team();
    case wire::LedgerEntry::kReclaim:
      return entry.reclaim().team();
    case wire::LedgerEntry::BODY_NOT_SET:
      break;
  }
  return {};
}

auto MayBeWrittenByOperator(const wire::LedgerEntry& entry) -> bool {
  return entry.has_top_up() || entry.has_resolve();
}

}  // namespace

//==============================================================================
// Commands

auto PartitionLedger::StartAt(LogOffset oldest) -> void {
  *this = PartitionLedger(this->rules);
  this->has_state = oldest == 0;
  this->next = oldest;
}

auto PartitionLedger::ApplyBytes(std::string_view bytes) -> BatchResult {
  wire::LedgerBatch batch;
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++this->next;
    return {BatchRejection::kUnreadable, {}};
  }
  return this->Apply(batch);
}

auto PartitionLedger::Apply(const wire::LedgerBatch& batch) -> BatchResult {
  BatchResult result;
  if (batch.kind() == wire::BATCH_SNAPSHOT) {
    result.rejection = this->ApplySnapshot(batch.snapshot());
    ++this->next;
    return result;
  }
  ++this->next;
  if (!this->has_state) {
    result.rejection = BatchRejection::kNoState;
    return result;
  }
  if (batch.kind() == wire::BATCH_TAKE_OVER) {
    result.rejection = this->ApplyTakeOver(batch);
    return result;
  }
  const bool by_operator = batch.kind() == wire::BATCH_OPERATOR;
  result.rejection =
      by_operator ? BatchRejection::kNone : this->CheckWriter(batch);
  if (result.rejection != BatchRejection::kNone) {
    return result;
  }
  if (!by_operator) {
    this->writer_seq = batch.seq();
    this->AdvanceClock(batch.written_at_ms());
  }
  for (const wire::LedgerEntry& entry : batch.entries()) {
    result.verdicts.push_back(this->ApplyEntry(entry, by_operator));
  }
  return result;
}

auto PartitionLedger::ApplyTakeOver(const wire::LedgerBatch& batch)
    -> BatchRejection {
  if (batch.epoch() != this->keeper_epoch + 1 || batch.writer().empty()) {
    const bool repeated = batch.epoch() == this->keeper_epoch &&
                          this->keeper_id.value() == batch.writer();
    return repeated ? BatchRejection::kRepeated : BatchRejection::kLostTakeOver;
  }
  this->keeper_epoch = batch.epoch();
  this->keeper_id = IncarnationId(batch.writer());
  this->address = batch.writer_address();
  this->writer_seq = 0;
  return BatchRejection::kNone;
}

auto PartitionLedger::CheckWriter(const wire::LedgerBatch& batch) const
    -> BatchRejection {
  if (batch.epoch() != this->keeper_epoch ||
      batch.writer() != this->keeper_id.value()) {
    return BatchRejection::kStaleEpoch;
  }
  if (batch.seq() <= this->writer_seq) {
    return BatchRejection::kRepeated;
  }
  return batch.seq() == this->writer_seq + 1 ? BatchRejection::kNone
                                             : BatchRejection::kOutOfOrder;
}

auto PartitionLedger::ApplySnapshot(const wire::LedgerSnapshot& snapshot)
    -> BatchRejection {
  if (snapshot.next_offset() != this->next) {
    return BatchRejection::kMisplaced;
  }
  if (this->has_state) {
    return BatchRejection::kNone;
  }
  this->has_state = true;
  this->keeper_epoch = snapshot.epoch();
  this->keeper_id = IncarnationId(snapshot.keeper());
  this->address = snapshot.keeper_address();
  this->writer_seq = snapshot.last_seq();
  this->clock = snapshot.clock_ms();
  for (const wire::TeamSnapshot& team : snapshot.teams()) {
    const TeamId id(team.team());
    Team& state = this->all_teams.try_emplace(id, Team{TeamAccount(id), {}})
                      .first->second;
    state.account.Load(team);
    state.claims.Load(team);
  }
  return BatchRejection::kNone;
}

auto PartitionLedger::AdvanceClock(std::int64_t written_at_ms) -> void {
  const std::int64_t interval_before = this->clock / kPruneIntervalMs;
  this->clock = std::max(this->clock, written_at_ms);
  if (this->clock / kPruneIntervalMs == interval_before) {
    return;
  }
  for (auto& [id, team] : this->all_teams) {
    team.account.PruneBills(this->clock - ToMillis(this->rules.bill_horizon));
    team.claims.PruneEnded(this->clock - ToMillis(this->rules.claim_horizon));
  }
}

auto PartitionLedger::TeamOf(const wire::LedgerEntry& entry) -> Team* {
  const TeamId id(TeamNameOf(entry));
  if (id.empty()) {
    return nullptr;
  }
  const auto found = this->all_teams.find(id);
  if (found != this->all_teams.end()) {
    return &found->second;
  }
  // The first top-up or at-most-once claim creates the team; claims need no
  // budget.
  if (!entry.has_top_up() && !entry.has_claim()) {
    return nullptr;
  }
  return &this->all_teams.try_emplace(id, Team{TeamAccount(id), {}})
              .first->second;
}

auto PartitionLedger::ApplyEntry(const wire::LedgerEntry& entry,
                                 bool by_operator) -> wire::EntryVerdict {
  wire::EntryVerdict verdict;
  if (by_operator != MayBeWrittenByOperator(entry)) {
    verdict.set_verdict(wire::VERDICT_MALFORMED);
  } else if (Team* team = this->TeamOf(entry); team == nullptr) {
    verdict.set_verdict(wire::VERDICT_UNKNOWN_TEAM);
  } else {
    verdict = this->ApplyToTeam(entry, *team);
  }
  verdict.set_entry_id(entry.entry_id());
  return verdict;
}

auto PartitionLedger::ApplyToTeam(const wire::LedgerEntry& entry, Team& team)
    -> wire::EntryVerdict {
  const std::int64_t oldest_bill =
      this->clock - ToMillis(this->rules.bill_horizon);
  const std::int64_t oldest_claim =
      this->clock - ToMillis(this->rules.claim_horizon);
  wire::EntryVerdict verdict;
  switch (entry.body_case()) {
    case wire::LedgerEntry::kTopUp:
      verdict.set_verdict(team.account.Apply(entry.top_up()));
      break;
    case wire::LedgerEntry::kGrant: {
      verdict.set_verdict(team.account.Apply(entry.grant()));
      const HolderBalance balance =
          team.account.BalanceOf(IncarnationId(entry.grant().holder()));
      verdict.set_tokens(balance.last_grant);
      for (const IncarnationId& witness : balance.witnesses) {
        verdict.add_witnesses(witness.value());
      }
      break;
    }
    case wire::LedgerEntry::kGiveBack:
      verdict.set_verdict(team.account.Apply(entry.give_back()));
      break;
    case wire::LedgerEntry::kTransfer:
      verdict.set_verdict(team.account.Apply(entry.transfer()));
      break;
    case wire::LedgerEntry::kBill:
      verdict.set_verdict(team.account.Apply(entry.bill(), oldest_bill));
      break;
    case wire::LedgerEntry::kClaim:
      verdict.set_verdict(team.claims.Apply(entry.claim(), oldest_claim));
      if (const wire::ClaimState* claim =
              team.claims.Find(RequestKey(entry.claim().request_key()))) {
        *verdict.mutable_claim() = *claim;
      }
      break;
    case wire::LedgerEntry::kOutcome:
      verdict.set_verdict(team.claims.Apply(entry.outcome()));
      break;
    case wire::LedgerEntry::kResolve:
      verdict.set_verdict(team.claims.Apply(entry.resolve()));
      break;
    case wire::LedgerEntry::kReclaim:
      verdict.set_verdict(team.account.Apply(entry.reclaim()));
      break;
    case wire::LedgerEntry::BODY_NOT_SET:
      verdict.set_verdict(wire::VERDICT_MALFORMED);
      break;
  }
  return verdict;
}

//==============================================================================
// Queries

auto PartitionLedger::Find(const TeamId& team) const -> const Team* {
  const auto found = this->all_teams.find(team);
  return found == this->all_teams.end() ? nullptr : &found->second;
}

auto PartitionLedger::AreTotalsConsistent() const -> bool {
  return std::ranges::all_of(this->all_teams, [](const auto& item) {
    const TeamAccount& account = item.second.account;
    Tokens held = 0;
    for (const auto& [holder, balance] : account.holders()) {
      held += balance.tokens;
    }
    return account.unallocated() >= 0 && held >= 0 &&
           account.topped_up() ==
               account.billed() + account.unallocated() + held;
  });
}

auto PartitionLedger::ToSnapshot() const -> wire::LedgerSnapshot {
  wire::LedgerSnapshot snapshot;
  snapshot.set_next_offset(this->next);
  snapshot.set_epoch(this->keeper_epoch);
  snapshot.set_keeper(this->keeper_id.value());
  snapshot.set_keeper_address(this->address);
  snapshot.set_last_seq(this->writer_seq);
  snapshot.set_clock_ms(this->clock);
  for (const auto& [id, team] : this->all_teams) {
    wire::TeamSnapshot& out = *snapshot.add_teams();
    team.account.Save(out);
    team.claims.Save(out);
  }
  return snapshot;
}

}  // namespace auburnloft

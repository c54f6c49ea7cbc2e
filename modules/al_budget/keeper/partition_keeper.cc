#include "al_budget/keeper/partition_keeper.h"

#include <algorithm>
#include <utility>

#include "al_ledger/records/partition_map.h"

namespace auburnloft {

namespace {

/** A call to the log service without a reply for this long counts as failed. */
constexpr Duration kLogTimeout = std::chrono::seconds(3);

/** The delay after a failed call. It doubles with each failure up to the
    maximum. */
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

/** A keeper whose calls to the log service have failed for this long reports in
    its replies that it is stalled.
 */
constexpr Duration kStalledAfter = std::chrono::seconds(2);

/** The interval at which an idle keeper reads the stream, for records of
    operators and for take-over records of other routers.
 */
constexpr Duration kPollInterval = std::chrono::seconds(2);

/** The maximum number of entries in one record. A larger record would delay all
    submitters that wait for it. */
constexpr std::size_t kMaxEntriesPerRecord = 500;

/** A grant that the current state does not cover is refused only if the stream
    was read to its end no earlier than this before the grant arrived, because
    the stream may have a newer top-up. */
constexpr Duration kMaxReadAge = std::chrono::milliseconds(50);

/** A snapshot may be written early: after the maximum number of records divided
    by kEarlySnapshotDivisor, and once at least kBytesPerSnapshotByte times the
    size of the last snapshot has been written since. Readers can then start
    closer to the end of the stream, while snapshots add only a fraction to the
    bytes in the log service. */
constexpr std::uint64_t kEarlySnapshotDivisor = 5;
constexpr std::uint64_t kBytesPerSnapshotByte = 2;

/** A reader starts this many records before the offset where a snapshot is due
    at the latest, because a snapshot is rejected if another record was appended
    just before it. */
constexpr LogOffset kStartMargin = 16;

/** The maximum number of holders that a refusal lists, from which a router may
    request transfers. */
constexpr std::size_t kMaxHoldersNamed = 8;

}  // namespace

PartitionKeeper::PartitionKeeper(PartitionIndex partition,
                                 IncarnationId self,
                                 PeerAddress self_address,
                                 ActionQueue& actions,
                                 LogCallTracker& log,
                                 const KeeperSettings& settings)
    : partition(partition),
      self(std::move(self)),
      self_address(std::move(self_address)),
      actions(actions),
      log(log),
      settings(settings),
      local_ledger(settings.rules),
      start_distance(settings.snapshot_every + kStartMargin) {}

//==============================================================================
// Events

auto PartitionKeeper::TakeOver(Instant now) -> void {
  if (this->current_role != Role::kIdle) {
    return;
  }
  this->current_role = Role::kCatchingUp;
  this->needs_read = true;
  this->Tick(now);
}

auto PartitionKeeper::OnSubmit(Instant now,
                               const PeerAddress& from_address,
                               const wire::Submit& submit) -> void {
  bool is_repeat = false;
  for (const wire::LedgerEntry& entry : submit.entries()) {
    if (this->unconfirmed.contains(entry.entry_id()) ||
        !this->queued_ids.insert(entry.entry_id()).second) {
      is_repeat = true;
      continue;
    }
    this->queue.push_back({from_address, entry, now});
  }
  if (is_repeat) {
    this->replies.try_emplace(from_address);
  }
  this->Tick(now);
}

auto PartitionKeeper::AddOwnEntry(Instant now, wire::LedgerEntry entry)
    -> void {
  if (this->unconfirmed.contains(entry.entry_id()) ||
      !this->queued_ids.insert(entry.entry_id()).second) {
    return;
  }
  this->queue.push_back({PeerAddress(), std::move(entry), now});
}

auto PartitionKeeper::OnRecords(Instant now, const LogRecords& records)
    -> void {
  if (this->io != Io::kReading || records.tag != this->io_tag) {
    return;
  }
  this->FinishIo();
  const bool is_truncated = this->has_start_offset &&
                            records.oldest > this->local_ledger.next_offset();
  if (!this->has_start_offset || is_truncated) {
    this->SetStartOffset(now, records);
    return;
  }
  LogOffset offset = records.first;
  for (const std::string& record : records.records) {
    if (offset++ == this->local_ledger.next_offset()) {
      this->ApplyRecord(record);
    }
  }
  if (this->local_ledger.next_offset() < records.next) {
    this->needs_read = true;
  } else {
    this->last_full_read = this->io_started;
    this->OnEndOfStream(now);
  }
  this->Tick(now);
}

auto PartitionKeeper::SetStartOffset(Instant now, const LogRecords& records)
    -> void {
  const LogOffset distance = std::min(records.next, this->start_distance);
  this->local_ledger.StartAt(std::max(records.oldest, records.next - distance));
  this->has_start_offset = true;
  this->needs_read = true;
  if (this->current_role != Role::kCatchingUp) {
    this->StepDown();
    this->current_role = Role::kCatchingUp;
  }
  this->Tick(now);
}

auto PartitionKeeper::OnAppended(Instant now, const LogAppended& appended)
    -> void {
  if (this->io != Io::kAppending || appended.tag != this->io_tag) {
    return;
  }
  this->FinishIo();
  if (appended.offset == this->local_ledger.next_offset()) {
    this->ApplyRecord(std::exchange(this->unconfirmed_record, {}));
    this->last_full_read = this->io_started;
    this->OnEndOfStream(now);
  } else {
    this->needs_read = true;
  }
  this->Tick(now);
}

auto PartitionKeeper::OnFailed(Instant now, const LogFailed& failed) -> void {
  if (this->io != Io::kNone && failed.tag == this->io_tag) {
    this->RetryLater(now);
  }
}

auto PartitionKeeper::Tick(Instant now) -> void {
  if (this->io != Io::kNone && now >= this->io_deadline) {
    this->RetryLater(now);
  }
  if (this->io == Io::kNone && now >= this->next_io &&
      this->current_role != Role::kIdle) {
    const bool poll_due = this->current_role == Role::kKeeping &&
                          now >= this->last_full_read + kPollInterval;
    if (this->needs_read || poll_due) {
      this->StartRead(now);
    } else if (this->current_role == Role::kKeeping) {
      this->Commit(now);
    }
  }
  // Until this router is the keeper, its replies say stalled, so that a
  // submitter does not mistake it for a working keeper.
  this->SendReplies(this->IsStalled(now) ||
                    this->current_role != Role::kKeeping);
}

auto PartitionKeeper::IsStalled(Instant now) const -> bool {
  return this->failing && now >= this->failing_since + kStalledAfter;
}

//==============================================================================
// Calls to the log service

auto PartitionKeeper::StartRead(Instant now) -> void {
  this->io = Io::kReading;
  this->io_deadline = now + kLogTimeout;
  this->needs_read = false;
  this->io_started = now;
  this->io_tag = this->log.Read(
      PartitionMap::StreamOf(this->partition),
      this->has_start_offset ? this->local_ledger.next_offset() : kEndOfStream);
}

auto PartitionKeeper::StartAppend(Instant now, std::string bytes) -> void {
  this->io = Io::kAppending;
  this->io_started = now;
  this->io_deadline = now + kLogTimeout;
  this->unconfirmed_record = bytes;
  ++this->append_count;
  this->io_tag = this->log.Append(PartitionMap::StreamOf(this->partition),
                                  std::move(bytes));
}

auto PartitionKeeper::FinishIo() -> void {
  this->io = Io::kNone;
  this->backoff = Duration{0};
  this->failing = false;
}

auto PartitionKeeper::RetryLater(Instant now) -> void {
  this->io = Io::kNone;
  this->needs_read = true;  // The failed append may have taken effect.
  this->backoff = this->backoff == Duration{0}
                      ? kInitialBackoff
                      : std::min(this->backoff * 2, kMaxBackoff);
  this->next_io = now + this->backoff;
  if (!this->failing) {
    this->failing = true;
    this->failing_since = now;
  }
}

//==============================================================================
// The stream

auto PartitionKeeper::ApplyRecord(std::string_view bytes) -> void {
  const BatchResult result = this->local_ledger.ApplyBytes(bytes);
  ++this->records_since_snapshot;
  this->bytes_since_snapshot += bytes.size();
  wire::LedgerBatch batch;
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return;
  }
  if (batch.kind() == wire::BATCH_SNAPSHOT &&
      result.rejection == BatchRejection::kNone) {
    this->records_since_snapshot = 0;
    this->bytes_since_snapshot = 0;
    this->snapshot_bytes = bytes.size();
  }
  const bool is_own = batch.kind() == wire::BATCH_ENTRIES &&
                      batch.writer() == this->self.value() &&
                      batch.epoch() == this->own_epoch &&
                      batch.seq() == this->unconfirmed_seq;
  if (!is_own || result.rejection != BatchRejection::kNone) {
    return;
  }
  for (const wire::EntryVerdict& verdict : result.verdicts) {
    const auto item = this->unconfirmed.find(verdict.entry_id());
    if (item != this->unconfirmed.end()) {
      this->AddReply(item->second, verdict);
    }
  }
  this->unconfirmed.clear();
  this->unconfirmed_record.clear();
}

auto PartitionKeeper::OnEndOfStream(Instant now) -> void {
  if (!this->local_ledger.ready()) {
    // There is no snapshot this close to the end of the stream, so start
    // further back.
    this->start_distance *= 4;
    this->has_start_offset = false;
    this->needs_read = true;
    return;
  }
  const bool is_keeper = this->local_ledger.keeper() == this->self &&
                         this->local_ledger.epoch() == this->own_epoch;
  switch (this->current_role) {
    case Role::kIdle:
      break;
    case Role::kCatchingUp:
      this->own_epoch = this->local_ledger.epoch() + 1;
      this->AppendTakeOver(now);
      break;
    case Role::kTakingOver:
      if (is_keeper) {
        this->current_role = Role::kKeeping;
      } else if (this->local_ledger.epoch() >= this->own_epoch) {
        this->StepDown();
      } else {
        this->AppendTakeOver(now);
      }
      break;
    case Role::kKeeping:
      if (!is_keeper) {
        this->StepDown();
      } else if (!this->unconfirmed.empty() && this->io == Io::kNone) {
        this->StartAppend(now, this->unconfirmed_record);
      }
      break;
  }
}

auto PartitionKeeper::AppendTakeOver(Instant now) -> void {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_TAKE_OVER);
  batch.set_writer(this->self.value());
  batch.set_writer_address(this->self_address.value());
  batch.set_epoch(this->own_epoch);
  batch.set_written_at_ms(ToUnixMillis(now));
  this->current_role = Role::kTakingOver;
  this->StartAppend(now, batch.SerializeAsString());
}

auto PartitionKeeper::StepDown() -> void {
  std::set<PeerAddress> waiting;
  for (const QueuedEntry& item : this->queue) {
    waiting.insert(item.from);
  }
  for (const auto& [id, from] : this->unconfirmed) {
    waiting.insert(from);
  }
  for (const PeerAddress& address : waiting) {
    if (address.empty()) {
      continue;
    }
    wire::PeerMessage message;
    wire::NotKeeper& not_keeper = *message.mutable_not_keeper();
    not_keeper.set_partition(this->partition);
    not_keeper.set_epoch(this->local_ledger.epoch());
    not_keeper.set_keeper(this->local_ledger.keeper().value());
    this->actions.Push(SendPeerMessage{address, std::move(message)});
  }
  this->queue.clear();
  this->queued_ids.clear();
  this->unconfirmed.clear();
  this->unconfirmed_record.clear();
  this->replies.clear();
  this->current_role = Role::kIdle;
}

//==============================================================================
// Commits

auto PartitionKeeper::Commit(Instant now) -> void {
  if (!this->unconfirmed.empty() || now < this->next_commit) {
    return;
  }
  if (this->SnapshotIsDue()) {
    this->WriteSnapshot(now);
    return;
  }
  wire::LedgerBatch batch = this->BuildBatch(now);
  if (this->needs_read && batch.entries().empty()) {
    this->StartRead(now);
    return;
  }
  if (batch.entries().empty()) {
    return;
  }
  this->next_commit = now + this->settings.commit_interval;
  this->unconfirmed_seq = batch.seq();
  this->StartAppend(now, batch.SerializeAsString());
}

auto PartitionKeeper::BuildBatch(Instant now) -> wire::LedgerBatch {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_ENTRIES);
  batch.set_writer(this->self.value());
  batch.set_epoch(this->own_epoch);
  batch.set_seq(this->local_ledger.last_seq() + 1);
  batch.set_written_at_ms(ToUnixMillis(now));
  std::map<std::string, Tokens> taken;
  std::deque<QueuedEntry> deferred;
  while (!this->queue.empty() &&
         this->unconfirmed.size() < kMaxEntriesPerRecord) {
    QueuedEntry item = std::move(this->queue.front());
    this->queue.pop_front();
    if (this->ReplyFromState(item)) {
      this->queued_ids.erase(item.entry.entry_id());
      continue;
    }
    if (item.entry.has_grant() &&
        !this->SetGrantedTokens(*item.entry.mutable_grant(), taken)) {
      if (this->last_full_read + kMaxReadAge < item.arrived) {
        this->needs_read = true;
        deferred.push_back(std::move(item));
      } else {
        this->queued_ids.erase(item.entry.entry_id());
        this->RefuseGrant(item);
      }
      continue;
    }
    this->queued_ids.erase(item.entry.entry_id());
    this->unconfirmed[item.entry.entry_id()] = item.from;
    *batch.add_entries() = std::move(item.entry);
  }
  std::move(deferred.begin(), deferred.end(), std::back_inserter(this->queue));
  return batch;
}

auto PartitionKeeper::ReplyFromState(const QueuedEntry& item) -> bool {
  if (!item.entry.has_claim()) {
    return false;
  }
  const wire::Claim& claim = item.entry.claim();
  const PartitionLedger::Team* team =
      this->local_ledger.Find(TeamId(claim.team()));
  const wire::ClaimState* current =
      team == nullptr ? nullptr
                      : team->claims.Find(RequestKey(claim.request_key()));
  if (current == nullptr || current->state() == wire::OUTCOME_NOT_RUN) {
    return false;
  }
  wire::EntryVerdict verdict;
  verdict.set_entry_id(item.entry.entry_id());
  verdict.set_verdict(current->run_id() == claim.run_id()
                          ? wire::VERDICT_REPEATED
                          : wire::VERDICT_CLAIMED);
  *verdict.mutable_claim() = *current;
  this->AddReply(item.from, std::move(verdict));
  return true;
}

auto PartitionKeeper::SetGrantedTokens(
    wire::Grant& grant,
    std::map<std::string, Tokens>& taken) const -> bool {
  const PartitionLedger::Team* team =
      this->local_ledger.Find(TeamId(grant.team()));
  if (team == nullptr) {
    return false;
  }
  const HolderBalance balance =
      team->account.BalanceOf(IncarnationId(grant.holder()));
  if (balance.op_seq == grant.op_seq()) {
    return true;  // Granted before; the ledger's verdict repeats the amount.
  }
  if (grant.tokens() == 0) {
    return grant.witnesses_size() > 0;  // Only sets other witnesses.
  }
  Tokens& batch_grants = taken[grant.team()];
  GrantRequest request;
  request.want = grant.tokens();
  request.need = grant.need();
  request.unallocated = team->account.unallocated() - batch_grants;
  request.topped_up = team->account.topped_up();
  request.received = balance.received;
  request.routers = this->settings.routers;
  const Tokens tokens = std::visit(
      [&](const auto& policy) { return policy.TokensToGrant(request); },
      this->settings.policy);
  if (tokens <= 0) {
    return false;
  }
  batch_grants += tokens;
  grant.set_tokens(tokens);
  return true;
}

auto PartitionKeeper::RefuseGrant(const QueuedEntry& item) -> void {
  const wire::Grant& grant = item.entry.grant();
  wire::EntryVerdict verdict;
  verdict.set_entry_id(item.entry.entry_id());
  verdict.set_verdict(wire::VERDICT_INSUFFICIENT);
  const PartitionLedger::Team* team =
      this->local_ledger.Find(TeamId(grant.team()));
  if (team != nullptr) {
    verdict.set_unallocated(team->account.unallocated());
    std::vector<wire::HolderAccount> holders;
    for (const auto& [holder, balance] : team->account.holders()) {
      if (balance.tokens > 0 && !balance.closed &&
          holder.value() != grant.holder()) {
        wire::HolderAccount& out = holders.emplace_back();
        out.set_holder(holder.value());
        out.set_tokens(balance.tokens);
      }
    }
    std::ranges::sort(holders, std::greater<>(), &wire::HolderAccount::tokens);
    holders.resize(std::min(holders.size(), kMaxHoldersNamed));
    for (wire::HolderAccount& holder : holders) {
      *verdict.add_holders() = std::move(holder);
    }
  }
  this->AddReply(item.from, std::move(verdict));
}

auto PartitionKeeper::SnapshotIsDue() const -> bool {
  const std::uint64_t max_records = this->settings.snapshot_every;
  // An early snapshot is written only while no submitter waits for the keeper.
  const bool is_early_due =
      this->queue.empty() &&
      this->records_since_snapshot >= max_records / kEarlySnapshotDivisor &&
      this->bytes_since_snapshot >=
          kBytesPerSnapshotByte * this->snapshot_bytes;
  return is_early_due || this->records_since_snapshot >= max_records;
}

auto PartitionKeeper::WriteSnapshot(Instant now) -> void {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_SNAPSHOT);
  batch.set_writer(this->self.value());
  batch.set_epoch(this->own_epoch);
  batch.set_written_at_ms(ToUnixMillis(now));
  *batch.mutable_snapshot() = this->local_ledger.ToSnapshot();
  this->next_commit = now + this->settings.commit_interval;
  this->StartAppend(now, batch.SerializeAsString());
}

//==============================================================================
// Replies

auto PartitionKeeper::AddReply(const PeerAddress& to,
                               wire::EntryVerdict verdict) -> void {
  if (!to.empty()) {
    *this->replies[to].add_verdicts() = std::move(verdict);
  }
}

auto PartitionKeeper::SendReplies(bool stalled) -> void {
  for (auto& [address, verdicts] : this->replies) {
    verdicts.set_partition(this->partition);
    verdicts.set_epoch(this->own_epoch);
    verdicts.set_stalled(stalled);
    wire::PeerMessage message;
    *message.mutable_verdicts() = std::move(verdicts);
    this->actions.Push(SendPeerMessage{address, std::move(message)});
  }
  this->replies.clear();
}

}  // namespace auburnloft

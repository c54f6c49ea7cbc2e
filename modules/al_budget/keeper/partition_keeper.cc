#include "al_budget/keeper/partition_keeper.h"

#include <algorithm>
#include <utility>

#include "al_ledger/records/partition_map.h"

namespace auburnloft {

namespace {

/** A call to the log without an answer for this long counts as failed. */
constexpr Duration kLogTimeout = std::chrono::seconds(3);

/** The wait after a failed call; it doubles up to the longest. */
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackoff = std::chrono::seconds(2);

/** A keeper whose log calls have failed for this long says that it is stalled.
 */
constexpr Duration kStalledAfter = std::chrono::seconds(2);

/** How often an idle keeper looks for records of operators and of a successor.
 */
constexpr Duration kPollInterval = std::chrono::seconds(2);

/** One record holds at most this many entries; a larger one delays all that
 * wait for it. */
constexpr std::size_t kMostEntriesPerRecord = 500;

/** A grant that the state does not cover waits for a read of the stream that is
   at most this old, since a top-up may stand there. */
constexpr Duration kFreshRead = std::chrono::milliseconds(50);

/** A snapshot is written early, after this part of the records that call for
   one, once it is small against what was written since the last one: readers
   then start nearer to the end, and the log's bytes grow by a fraction only. */
constexpr std::uint64_t kEarlyPart = 5;
constexpr std::uint64_t kBytesPerSnapshotByte = 2;

/** A reader starts this many records before the place where a snapshot is due
   at the latest: some snapshots are void, because a record came in between. */
constexpr LogOffset kStartMargin = 16;

/** So many holders are named to a router that may ask them for tokens. */
constexpr std::size_t kMostHoldersNamed = 8;

}  // namespace

PartitionKeeper::PartitionKeeper(PartitionIndex partition,
                                 IncarnationId self,
                                 PeerAddress self_address,
                                 ActionQueue& actions,
                                 LogPort& log,
                                 const KeeperSettings& settings)
    : partition(partition),
      self(std::move(self)),
      self_address(std::move(self_address)),
      actions(actions),
      log(log),
      settings(settings),
      fold(settings.rules),
      start_distance(settings.snapshot_every + kStartMargin) {}

//==============================================================================
// Events

auto PartitionKeeper::TakeOver(Instant now) -> void {
  if (this->current_role != Role::kIdle) {
    return;
  }
  this->current_role = Role::kCatchingUp;
  this->read_wanted = true;
  this->Tick(now);
}

auto PartitionKeeper::OnSubmit(Instant now,
                               const PeerAddress& from_address,
                               const wire::Submit& submit) -> void {
  bool is_repeat = false;
  for (const wire::LedgerEntry& entry : submit.entries()) {
    if (this->sent.contains(entry.entry_id()) ||
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
  if (this->sent.contains(entry.entry_id()) ||
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
  const bool cut_off =
      this->start_is_placed && records.oldest > this->fold.next_offset();
  if (!this->start_is_placed || cut_off) {
    this->PlaceStart(now, records);
    return;
  }
  LogOffset offset = records.first;
  for (const std::string& record : records.records) {
    if (offset++ == this->fold.next_offset()) {
      this->ApplyRecord(record);
    }
  }
  if (this->fold.next_offset() < records.next) {
    this->read_wanted = true;
  } else {
    this->last_full_read = this->io_started;
    this->OnEndOfStream(now);
  }
  this->Tick(now);
}

auto PartitionKeeper::PlaceStart(Instant now, const LogRecords& records)
    -> void {
  const LogOffset back = std::min(records.next, this->start_distance);
  this->fold.StartAt(std::max(records.oldest, records.next - back));
  this->start_is_placed = true;
  this->read_wanted = true;
  if (this->current_role != Role::kCatchingUp) {
    this->Depose();
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
  if (appended.offset == this->fold.next_offset()) {
    this->ApplyRecord(std::exchange(this->batch_bytes, {}));
    this->last_full_read = this->io_started;
    this->OnEndOfStream(now);
  } else {
    this->read_wanted = true;
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
    if (this->read_wanted || poll_due) {
      this->StartRead(now);
    } else if (this->current_role == Role::kKeeping) {
      this->Commit(now);
    }
  }
  // A router that is about to take over has nothing to say for a working
  // keeper.
  this->FlushReplies(this->IsStalled(now) ||
                     this->current_role != Role::kKeeping);
}

auto PartitionKeeper::IsStalled(Instant now) const -> bool {
  return this->failing && now >= this->failing_since + kStalledAfter;
}

//==============================================================================
// Calls to the log

auto PartitionKeeper::StartRead(Instant now) -> void {
  this->io = Io::kReading;
  this->io_deadline = now + kLogTimeout;
  this->read_wanted = false;
  this->io_started = now;
  this->io_tag = this->log.Read(
      PartitionMap::StreamOf(this->partition),
      this->start_is_placed ? this->fold.next_offset() : kEndOfStream);
}

auto PartitionKeeper::StartAppend(Instant now, std::string bytes) -> void {
  this->io = Io::kAppending;
  this->io_started = now;
  this->io_deadline = now + kLogTimeout;
  this->batch_bytes = bytes;
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
  this->read_wanted = true;  // An append may have taken effect.
  this->backoff = this->backoff == Duration{0}
                      ? kFirstBackoff
                      : std::min(this->backoff * 2, kLongestBackoff);
  this->next_io = now + this->backoff;
  if (!this->failing) {
    this->failing = true;
    this->failing_since = now;
  }
}

//==============================================================================
// The stream

auto PartitionKeeper::ApplyRecord(std::string_view bytes) -> void {
  const BatchResult result = this->fold.ApplyBytes(bytes);
  ++this->records_since_snapshot;
  this->bytes_since_snapshot += bytes.size();
  wire::LedgerBatch batch;
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return;
  }
  if (batch.kind() == wire::BATCH_SNAPSHOT &&
      result.void_reason == BatchVoid::kNone) {
    this->records_since_snapshot = 0;
    this->bytes_since_snapshot = 0;
    this->snapshot_bytes = bytes.size();
  }
  const bool is_own = batch.kind() == wire::BATCH_ENTRIES &&
                      batch.writer() == this->self.value() &&
                      batch.epoch() == this->own_epoch &&
                      batch.seq() == this->batch_seq;
  if (!is_own || result.void_reason != BatchVoid::kNone) {
    return;
  }
  for (const wire::EntryVerdict& verdict : result.verdicts) {
    const auto item = this->sent.find(verdict.entry_id());
    if (item != this->sent.end()) {
      this->AddReply(item->second, verdict);
    }
  }
  this->sent.clear();
  this->batch_bytes.clear();
}

auto PartitionKeeper::OnEndOfStream(Instant now) -> void {
  if (!this->fold.ready()) {
    // No snapshot this near to the end: start from further back.
    this->start_distance *= 4;
    this->start_is_placed = false;
    this->read_wanted = true;
    return;
  }
  const bool is_keeper = this->fold.keeper() == this->self &&
                         this->fold.epoch() == this->own_epoch;
  switch (this->current_role) {
    case Role::kIdle:
      break;
    case Role::kCatchingUp:
      this->own_epoch = this->fold.epoch() + 1;
      this->AppendTakeOver(now);
      break;
    case Role::kTakingOver:
      if (is_keeper) {
        this->current_role = Role::kKeeping;
      } else if (this->fold.epoch() >= this->own_epoch) {
        this->Depose();
      } else {
        this->AppendTakeOver(now);
      }
      break;
    case Role::kKeeping:
      if (!is_keeper) {
        this->Depose();
      } else if (!this->sent.empty() && this->io == Io::kNone) {
        this->StartAppend(now, this->batch_bytes);
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

auto PartitionKeeper::Depose() -> void {
  std::set<PeerAddress> waiting;
  for (const QueuedEntry& item : this->queue) {
    waiting.insert(item.from);
  }
  for (const auto& [id, from] : this->sent) {
    waiting.insert(from);
  }
  for (const PeerAddress& address : waiting) {
    if (address.empty()) {
      continue;
    }
    wire::PeerMessage message;
    wire::NotKeeper& not_keeper = *message.mutable_not_keeper();
    not_keeper.set_partition(this->partition);
    not_keeper.set_epoch(this->fold.epoch());
    not_keeper.set_keeper(this->fold.keeper().value());
    this->actions.Push(SendPeerMessage{address, std::move(message)});
  }
  this->queue.clear();
  this->queued_ids.clear();
  this->sent.clear();
  this->batch_bytes.clear();
  this->replies.clear();
  this->current_role = Role::kIdle;
}

//==============================================================================
// Commits

auto PartitionKeeper::Commit(Instant now) -> void {
  if (!this->sent.empty() || now < this->next_commit) {
    return;
  }
  if (this->SnapshotIsDue()) {
    this->WriteSnapshot(now);
    return;
  }
  wire::LedgerBatch batch = this->BuildBatch(now);
  if (this->read_wanted && batch.entries().empty()) {
    this->StartRead(now);
    return;
  }
  if (batch.entries().empty()) {
    return;
  }
  this->next_commit = now + this->settings.commit_interval;
  this->batch_seq = batch.seq();
  this->StartAppend(now, batch.SerializeAsString());
}

auto PartitionKeeper::BuildBatch(Instant now) -> wire::LedgerBatch {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_ENTRIES);
  batch.set_writer(this->self.value());
  batch.set_epoch(this->own_epoch);
  batch.set_seq(this->fold.last_seq() + 1);
  batch.set_written_at_ms(ToUnixMillis(now));
  std::map<std::string, Tokens> taken;
  std::deque<QueuedEntry> held;
  while (!this->queue.empty() && this->sent.size() < kMostEntriesPerRecord) {
    QueuedEntry item = std::move(this->queue.front());
    this->queue.pop_front();
    if (this->AnswerFromState(item)) {
      this->queued_ids.erase(item.entry.entry_id());
      continue;
    }
    if (item.entry.has_grant() &&
        !this->ShapeGrant(*item.entry.mutable_grant(), taken)) {
      if (this->last_full_read + kFreshRead < item.arrived) {
        this->read_wanted = true;
        held.push_back(std::move(item));
      } else {
        this->queued_ids.erase(item.entry.entry_id());
        this->RefuseGrant(item);
      }
      continue;
    }
    this->queued_ids.erase(item.entry.entry_id());
    this->sent[item.entry.entry_id()] = item.from;
    *batch.add_entries() = std::move(item.entry);
  }
  std::move(held.begin(), held.end(), std::back_inserter(this->queue));
  return batch;
}

auto PartitionKeeper::AnswerFromState(const QueuedEntry& item) -> bool {
  if (!item.entry.has_claim()) {
    return false;
  }
  const wire::Claim& claim = item.entry.claim();
  const PartitionLedger::Team* team = this->fold.Find(TeamId(claim.team()));
  const wire::ClaimState* standing =
      team == nullptr ? nullptr
                      : team->claims.Find(RequestKey(claim.request_key()));
  if (standing == nullptr || standing->state() == wire::OUTCOME_NOT_RUN) {
    return false;
  }
  wire::EntryVerdict verdict;
  verdict.set_entry_id(item.entry.entry_id());
  verdict.set_verdict(standing->run_id() == claim.run_id()
                          ? wire::VERDICT_REPEATED
                          : wire::VERDICT_CLAIMED);
  *verdict.mutable_claim() = *standing;
  this->AddReply(item.from, std::move(verdict));
  return true;
}

auto PartitionKeeper::ShapeGrant(wire::Grant& grant,
                                 std::map<std::string, Tokens>& taken) const
    -> bool {
  const PartitionLedger::Team* team = this->fold.Find(TeamId(grant.team()));
  if (team == nullptr) {
    return false;
  }
  const HolderBalance balance =
      team->account.BalanceOf(IncarnationId(grant.holder()));
  if (balance.op_seq == grant.op_seq()) {
    return true;  // Granted before; the fold answers with the amount.
  }
  if (grant.tokens() == 0) {
    return grant.witnesses_size() > 0;  // Only names other witnesses.
  }
  Tokens& already = taken[grant.team()];
  GrantRequest request;
  request.want = grant.tokens();
  request.need = grant.need();
  request.unallocated = team->account.unallocated() - already;
  request.topped_up = team->account.topped_up();
  request.received = balance.received;
  request.routers = this->settings.routers;
  const Tokens tokens =
      std::visit([&](const auto& policy) { return policy.Shape(request); },
                 this->settings.policy);
  if (tokens <= 0) {
    return false;
  }
  already += tokens;
  grant.set_tokens(tokens);
  return true;
}

auto PartitionKeeper::RefuseGrant(const QueuedEntry& item) -> void {
  const wire::Grant& grant = item.entry.grant();
  wire::EntryVerdict verdict;
  verdict.set_entry_id(item.entry.entry_id());
  verdict.set_verdict(wire::VERDICT_INSUFFICIENT);
  const PartitionLedger::Team* team = this->fold.Find(TeamId(grant.team()));
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
    holders.resize(std::min(holders.size(), kMostHoldersNamed));
    for (wire::HolderAccount& holder : holders) {
      *verdict.add_holders() = std::move(holder);
    }
  }
  this->AddReply(item.from, std::move(verdict));
}

auto PartitionKeeper::SnapshotIsDue() const -> bool {
  const std::uint64_t most = this->settings.snapshot_every;
  // An early one waits for a moment in which nobody waits for the keeper.
  const bool is_cheap = this->queue.empty() &&
                        this->records_since_snapshot >= most / kEarlyPart &&
                        this->bytes_since_snapshot >=
                            kBytesPerSnapshotByte * this->snapshot_bytes;
  return is_cheap || this->records_since_snapshot >= most;
}

auto PartitionKeeper::WriteSnapshot(Instant now) -> void {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_SNAPSHOT);
  batch.set_writer(this->self.value());
  batch.set_epoch(this->own_epoch);
  batch.set_written_at_ms(ToUnixMillis(now));
  *batch.mutable_snapshot() = this->fold.ToSnapshot();
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

auto PartitionKeeper::FlushReplies(bool stalled) -> void {
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

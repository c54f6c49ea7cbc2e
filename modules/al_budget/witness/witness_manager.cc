#include "al_budget/witness/witness_manager.h"

#include <utility>

namespace auburnloft {

namespace {

/** How long a response waits for its witness: several round trips between
    failure domains, and one resend of a lost message. */
constexpr Duration kWitnessTimeout = std::chrono::milliseconds(45);

/** The intervals at which a copy is resent before and after its response was
    released. */
constexpr Duration kResendIntervalWhileHeld = std::chrono::milliseconds(15);
constexpr Duration kResendInterval = std::chrono::milliseconds(500);

/** The interval at which an acknowledged copy is checked and sent to another
    router if its witness is no longer available. */
constexpr Duration kWitnessCheckInterval = std::chrono::seconds(5);

/** How long a witness waits for the sender's report that an entry is recorded
    before it submits the entry itself. */
constexpr Duration kSubmitDelay = std::chrono::seconds(30);

/** Reports of recorded entries are batched for this long. */
constexpr Duration kRecordedReportInterval = std::chrono::seconds(1);

auto TeamOf(const wire::LedgerEntry& entry) -> TeamId {
  if (entry.has_bill()) {
    return TeamId(entry.bill().team());
  }
  return TeamId(entry.has_transfer() ? entry.transfer().team()
                                     : entry.outcome().team());
}

}  // namespace

WitnessManager::WitnessManager(PartitionMap partitions,
                               ActionQueue& actions,
                               EntryOutbox& outbox,
                               WitnessAddress witness_address)
    : partitions(partitions),
      actions(actions),
      outbox(outbox),
      witness_address(std::move(witness_address)) {}

//==============================================================================
// Sender

auto WitnessManager::AddCopy(Instant now,
                             std::vector<wire::LedgerEntry> entries)
    -> PendingCopy& {
  const std::uint64_t id = this->next_note_id++;
  PendingCopy& copy = this->pending_copies[id];
  copy.note.set_note_id(id);
  for (wire::LedgerEntry& entry : entries) {
    copy.unrecorded_entries.insert(entry.entry_id());
    this->copy_of_entry[entry.entry_id()] = id;
    *copy.note.add_entries() = std::move(entry);
  }
  this->SendToWitness(now, copy);
  this->pending_copies_due.emplace(copy.next_send, id);
  return copy;
}

auto WitnessManager::Copy(Instant now, const wire::LedgerEntry& entry) -> void {
  this->AddCopy(now, {entry}).released = true;
}

auto WitnessManager::ReleaseAfterCopy(Instant now,
                                      RequestHandle handle,
                                      std::vector<wire::LedgerEntry> entries)
    -> void {
  if (entries.empty()) {
    this->actions.Push(ReleaseResponse{handle});
    return;
  }
  PendingCopy& copy = this->AddCopy(now, std::move(entries));
  copy.handle = handle;
  copy.deadline = now + kWitnessTimeout;
  this->pending_copies_due.emplace(copy.deadline, copy.note.note_id());
  if (copy.witness.empty()) {
    ++this->released_without_copy;
    this->ReleaseHeldResponse(copy);
  }
}

auto WitnessManager::SendToWitness(Instant now, PendingCopy& copy) -> void {
  const PeerAddress witness = this->witness_address().value_or(PeerAddress());
  const bool is_acknowledged = copy.has_copy && witness == copy.witness;
  const Duration resend_interval =
      copy.released ? kResendInterval : kResendIntervalWhileHeld;
  copy.next_send =
      now + (is_acknowledged ? kWitnessCheckInterval : resend_interval);
  if (witness.empty() || is_acknowledged) {
    return;
  }
  copy.witness = witness;
  copy.has_copy = false;
  wire::PeerMessage message;
  *message.mutable_entry_note() = copy.note;
  this->actions.Push(SendPeerMessage{witness, std::move(message)});
}

auto WitnessManager::CheckPendingCopies(Instant now) -> void {
  while (!this->pending_copies_due.empty() &&
         this->pending_copies_due.begin()->first <= now) {
    const std::uint64_t id = this->pending_copies_due.begin()->second;
    this->pending_copies_due.erase(this->pending_copies_due.begin());
    const auto found = this->pending_copies.find(id);
    if (found == this->pending_copies.end()) {
      continue;
    }
    PendingCopy& copy = found->second;
    if (!copy.released && now >= copy.deadline) {
      ++this->released_without_copy;
      this->ReleaseHeldResponse(copy);
    }
    if (now >= copy.next_send) {
      this->SendToWitness(now, copy);
      this->pending_copies_due.emplace(copy.next_send, id);
    }
  }
}

auto WitnessManager::SubmitDueCopies(Instant now) -> void {
  while (!this->held_copies_due.empty() &&
         this->held_copies_due.front().first <= now) {
    const auto found =
        this->held_copies.find(this->held_copies_due.front().second);
    this->held_copies_due.pop_front();
    if (found != this->held_copies.end() && found->second.due <= now) {
      this->SubmitCopy(now, found->second);
      this->held_copies.erase(found);
    }
  }
}

auto WitnessManager::ReleaseHeldResponse(PendingCopy& copy) -> void {
  if (!copy.released) {
    copy.released = true;
    this->actions.Push(ReleaseResponse{copy.handle});
  }
}

auto WitnessManager::OnAck(const wire::EntryNoteAck& ack) -> void {
  const auto found = this->pending_copies.find(ack.note_id());
  if (found != this->pending_copies.end()) {
    found->second.has_copy = true;
    this->ReleaseHeldResponse(found->second);
  }
}

auto WitnessManager::OnRecorded(std::string_view entry_id) -> void {
  const auto place = this->copy_of_entry.find(entry_id);
  if (place == this->copy_of_entry.end()) {
    return;
  }
  const auto found = this->pending_copies.find(place->second);
  this->copy_of_entry.erase(place);
  PendingCopy& copy = found->second;
  copy.unrecorded_entries.erase(std::string(entry_id));
  if (!copy.unrecorded_entries.empty()) {
    return;
  }
  this->ReleaseHeldResponse(copy);
  if (!copy.witness.empty()) {
    this->recorded_notes[copy.witness].add_note_ids(found->first);
  }
  this->pending_copies.erase(found);
}

//==============================================================================
// Witness

auto WitnessManager::OnNote(Instant now,
                            const IncarnationId& from,
                            const PeerAddress& from_address,
                            const wire::EntryNote& note) -> void {
  HeldCopy& copy = this->held_copies[{from, note.note_id()}];
  copy.due = now + kSubmitDelay;
  this->held_copies_due.emplace_back(copy.due, CopyKey{from, note.note_id()});
  copy.entries.assign(note.entries().begin(), note.entries().end());
  wire::PeerMessage message;
  message.mutable_entry_note_ack()->set_note_id(note.note_id());
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
}

auto WitnessManager::OnDone(const IncarnationId& from,
                            const wire::EntryNoteDone& recorded) -> void {
  for (const std::uint64_t id : recorded.note_ids()) {
    this->held_copies.erase({from, id});
  }
}

auto WitnessManager::OnHolderExpired(
    Instant now,
    const std::function<bool(const IncarnationId&)>& is_expired) -> void {
  std::erase_if(this->held_copies, [&](const auto& item) {
    if (!is_expired(item.first.first)) {
      return false;
    }
    this->SubmitCopy(now, item.second);
    return true;
  });
}

auto WitnessManager::SubmitCopy(Instant now, const HeldCopy& copy) -> void {
  for (const wire::LedgerEntry& entry : copy.entries) {
    if (!this->outbox.Contains(entry.entry_id())) {
      this->outbox.Add(now, this->partitions.PartitionOf(TeamOf(entry)), entry,
                       Urgency::kBatched);
    }
  }
}

//==============================================================================

auto WitnessManager::HeldEntries() const
    -> std::vector<const wire::LedgerEntry*> {
  std::vector<const wire::LedgerEntry*> entries;
  for (const auto& [key, copy] : this->held_copies) {
    for (const wire::LedgerEntry& entry : copy.entries) {
      entries.push_back(&entry);
    }
  }
  return entries;
}

auto WitnessManager::Tick(Instant now) -> void {
  this->CheckPendingCopies(now);
  this->SubmitDueCopies(now);
  if (now < this->next_recorded_report) {
    return;
  }
  this->next_recorded_report = now + kRecordedReportInterval;
  for (auto& [address, recorded] : std::exchange(this->recorded_notes, {})) {
    wire::PeerMessage message;
    *message.mutable_entry_note_done() = std::move(recorded);
    this->actions.Push(SendPeerMessage{address, std::move(message)});
  }
}

}  // namespace auburnloft

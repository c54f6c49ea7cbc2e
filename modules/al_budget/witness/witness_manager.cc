#include "al_budget/witness/witness_manager.h"

#include <utility>

namespace auburnloft {

namespace {

/** How long an answer waits for its witness: some round trips between failure
   domains, and one repeat of a lost message. */
constexpr Duration kWitnessWait = std::chrono::milliseconds(45);

/** A copy is sent again at these intervals, before and after its answer was
 * released. */
constexpr Duration kRepeatWhileHeld = std::chrono::milliseconds(15);
constexpr Duration kRepeat = std::chrono::milliseconds(500);

/** A copy that is in place is looked after this often, in case its witness is
 * gone. */
constexpr Duration kLookAfter = std::chrono::seconds(5);

/** How long a witness waits for word that an entry is recorded. */
constexpr Duration kSubmitAfter = std::chrono::seconds(30);

/** Words that entries are recorded are gathered for this long. */
constexpr Duration kDoneInterval = std::chrono::seconds(1);

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
  PendingCopy& note = this->pending_copies[id];
  note.note.set_note_id(id);
  for (wire::LedgerEntry& entry : entries) {
    note.unrecorded_entries.insert(entry.entry_id());
    this->copy_of_entry[entry.entry_id()] = id;
    *note.note.add_entries() = std::move(entry);
  }
  this->SendToWitness(now, note);
  this->pending_copies_due.emplace(note.next_send, id);
  return note;
}

auto WitnessManager::Copy(Instant now, const wire::LedgerEntry& entry) -> void {
  this->AddCopy(now, {entry}).released = true;
}

auto WitnessManager::ReleaseAfterCopy(Instant now,
                                      RequestHandle handle,
                                      std::vector<wire::LedgerEntry> entries)
    -> void {
  if (entries.empty()) {
    this->actions.Push(ReleaseAnswer{handle});
    return;
  }
  PendingCopy& note = this->AddCopy(now, std::move(entries));
  note.handle = handle;
  note.deadline = now + kWitnessWait;
  this->pending_copies_due.emplace(note.deadline, note.note.note_id());
  if (note.witness.empty()) {
    ++this->released_without_copy;
    this->ReleaseResponse(note);
  }
}

auto WitnessManager::SendToWitness(Instant now, PendingCopy& note) -> void {
  const PeerAddress witness = this->witness_address().value_or(PeerAddress());
  const bool in_place = note.has_copy && witness == note.witness;
  const Duration repeat = note.released ? kRepeat : kRepeatWhileHeld;
  note.next_send = now + (in_place ? kLookAfter : repeat);
  if (witness.empty() || in_place) {
    return;
  }
  note.witness = witness;
  note.has_copy = false;
  wire::PeerMessage message;
  *message.mutable_entry_note() = note.note;
  this->actions.Push(SendPeer{witness, std::move(message)});
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
    PendingCopy& note = found->second;
    if (!note.released && now >= note.deadline) {
      ++this->released_without_copy;
      this->ReleaseResponse(note);
    }
    if (now >= note.next_send) {
      this->SendToWitness(now, note);
      this->pending_copies_due.emplace(note.next_send, id);
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

auto WitnessManager::ReleaseResponse(PendingCopy& note) -> void {
  if (!note.released) {
    note.released = true;
    this->actions.Push(ReleaseAnswer{note.handle});
  }
}

auto WitnessManager::OnAck(const wire::EntryNoteAck& ack) -> void {
  const auto found = this->pending_copies.find(ack.note_id());
  if (found != this->pending_copies.end()) {
    found->second.has_copy = true;
    this->ReleaseResponse(found->second);
  }
}

auto WitnessManager::OnRecorded(std::string_view entry_id) -> void {
  const auto place = this->copy_of_entry.find(entry_id);
  if (place == this->copy_of_entry.end()) {
    return;
  }
  const auto found = this->pending_copies.find(place->second);
  this->copy_of_entry.erase(place);
  PendingCopy& note = found->second;
  note.unrecorded_entries.erase(std::string(entry_id));
  if (!note.unrecorded_entries.empty()) {
    return;
  }
  this->ReleaseResponse(note);
  if (!note.witness.empty()) {
    this->recorded_notes[note.witness].add_note_ids(found->first);
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
  copy.due = now + kSubmitAfter;
  this->held_copies_due.emplace_back(copy.due, CopyKey{from, note.note_id()});
  copy.entries.assign(note.entries().begin(), note.entries().end());
  wire::PeerMessage message;
  message.mutable_entry_note_ack()->set_note_id(note.note_id());
  this->actions.Push(SendPeer{from_address, std::move(message)});
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
  this->next_recorded_report = now + kDoneInterval;
  for (auto& [address, recorded] : std::exchange(this->recorded_notes, {})) {
    wire::PeerMessage message;
    *message.mutable_entry_note_done() = std::move(recorded);
    this->actions.Push(SendPeer{address, std::move(message)});
  }
}

}  // namespace auburnloft

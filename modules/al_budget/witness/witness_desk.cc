#include "al_budget/witness/witness_desk.h"

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

WitnessDesk::WitnessDesk(PartitionMap partitions,
                         ActionQueue& actions,
                         EntryOutbox& outbox,
                         WitnessAddress witness_address)
    : partitions(partitions),
      actions(actions),
      outbox(outbox),
      witness_address(std::move(witness_address)) {}

//==============================================================================
// Sender

auto WitnessDesk::AddNote(Instant now, std::vector<wire::LedgerEntry> entries)
    -> Note& {
  const std::uint64_t id = this->next_note++;
  Note& note = this->notes[id];
  note.note.set_note_id(id);
  for (wire::LedgerEntry& entry : entries) {
    note.open_entries.insert(entry.entry_id());
    this->note_of_entry[entry.entry_id()] = id;
    *note.note.add_entries() = std::move(entry);
  }
  this->Place(now, note);
  this->notes_due.emplace(note.next_send, id);
  return note;
}

auto WitnessDesk::Copy(Instant now, const wire::LedgerEntry& entry) -> void {
  this->AddNote(now, {entry}).released = true;
}

auto WitnessDesk::Protect(Instant now,
                          RequestHandle handle,
                          std::vector<wire::LedgerEntry> entries) -> void {
  if (entries.empty()) {
    this->actions.Push(ReleaseResponse{handle});
    return;
  }
  Note& note = this->AddNote(now, std::move(entries));
  note.handle = handle;
  note.deadline = now + kWitnessWait;
  this->notes_due.emplace(note.deadline, note.note.note_id());
  if (note.witness.empty()) {
    ++this->unprotected;
    this->Release(note);
  }
}

auto WitnessDesk::Place(Instant now, Note& note) -> void {
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
  this->actions.Push(SendPeerMessage{witness, std::move(message)});
}

auto WitnessDesk::LookAfterNotes(Instant now) -> void {
  while (!this->notes_due.empty() && this->notes_due.begin()->first <= now) {
    const std::uint64_t id = this->notes_due.begin()->second;
    this->notes_due.erase(this->notes_due.begin());
    const auto found = this->notes.find(id);
    if (found == this->notes.end()) {
      continue;
    }
    Note& note = found->second;
    if (!note.released && now >= note.deadline) {
      ++this->unprotected;
      this->Release(note);
    }
    if (now >= note.next_send) {
      this->Place(now, note);
      this->notes_due.emplace(note.next_send, id);
    }
  }
}

auto WitnessDesk::SubmitDueCopies(Instant now) -> void {
  while (!this->copies_due.empty() && this->copies_due.front().first <= now) {
    const auto found = this->copies.find(this->copies_due.front().second);
    this->copies_due.pop_front();
    if (found != this->copies.end() && found->second.due <= now) {
      this->SubmitCopy(now, found->second);
      this->copies.erase(found);
    }
  }
}

auto WitnessDesk::Release(Note& note) -> void {
  if (!note.released) {
    note.released = true;
    this->actions.Push(ReleaseResponse{note.handle});
  }
}

auto WitnessDesk::OnAck(const wire::EntryNoteAck& ack) -> void {
  const auto found = this->notes.find(ack.note_id());
  if (found != this->notes.end()) {
    found->second.has_copy = true;
    this->Release(found->second);
  }
}

auto WitnessDesk::OnRecorded(std::string_view entry_id) -> void {
  const auto place = this->note_of_entry.find(entry_id);
  if (place == this->note_of_entry.end()) {
    return;
  }
  const auto found = this->notes.find(place->second);
  this->note_of_entry.erase(place);
  Note& note = found->second;
  note.open_entries.erase(std::string(entry_id));
  if (!note.open_entries.empty()) {
    return;
  }
  this->Release(note);
  if (!note.witness.empty()) {
    this->done[note.witness].add_note_ids(found->first);
  }
  this->notes.erase(found);
}

//==============================================================================
// Witness

auto WitnessDesk::OnNote(Instant now,
                         const IncarnationId& from,
                         const PeerAddress& from_address,
                         const wire::EntryNote& note) -> void {
  HeldCopy& copy = this->copies[{from, note.note_id()}];
  copy.due = now + kSubmitAfter;
  this->copies_due.emplace_back(copy.due, CopyKey{from, note.note_id()});
  copy.entries.assign(note.entries().begin(), note.entries().end());
  wire::PeerMessage message;
  message.mutable_entry_note_ack()->set_note_id(note.note_id());
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
}

auto WitnessDesk::OnDone(const IncarnationId& from,
                         const wire::EntryNoteDone& recorded) -> void {
  for (const std::uint64_t id : recorded.note_ids()) {
    this->copies.erase({from, id});
  }
}

auto WitnessDesk::OnHolderDead(
    Instant now,
    const std::function<bool(const IncarnationId&)>& is_dead) -> void {
  std::erase_if(this->copies, [&](const auto& item) {
    if (!is_dead(item.first.first)) {
      return false;
    }
    this->SubmitCopy(now, item.second);
    return true;
  });
}

auto WitnessDesk::SubmitCopy(Instant now, const HeldCopy& copy) -> void {
  for (const wire::LedgerEntry& entry : copy.entries) {
    if (!this->outbox.Contains(entry.entry_id())) {
      this->outbox.Add(now, this->partitions.PartitionOf(TeamOf(entry)), entry,
                       Urgency::kBatched);
    }
  }
}

//==============================================================================

auto WitnessDesk::HeldEntries() const -> std::vector<const wire::LedgerEntry*> {
  std::vector<const wire::LedgerEntry*> entries;
  for (const auto& [key, copy] : this->copies) {
    for (const wire::LedgerEntry& entry : copy.entries) {
      entries.push_back(&entry);
    }
  }
  return entries;
}

auto WitnessDesk::Tick(Instant now) -> void {
  this->LookAfterNotes(now);
  this->SubmitDueCopies(now);
  if (now < this->next_done) {
    return;
  }
  this->next_done = now + kDoneInterval;
  for (auto& [address, recorded] : std::exchange(this->done, {})) {
    wire::PeerMessage message;
    *message.mutable_entry_note_done() = std::move(recorded);
    this->actions.Push(SendPeerMessage{address, std::move(message)});
  }
}

}  // namespace auburnloft

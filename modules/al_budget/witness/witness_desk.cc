#include "al_budget/witness/witness_desk.h"

#include <utility>

namespace auburnloft {

namespace {

/** How long an answer waits for its witness: some round trips between failure domains. */
constexpr Duration kWitnessWait = std::chrono::milliseconds(25);

/** How long a witness waits for word that an entry is recorded. */
constexpr Duration kSubmitAfter = std::chrono::seconds(30);

/** Words that entries are recorded are gathered for this long. */
constexpr Duration kDoneInterval = std::chrono::seconds(1);

auto TeamOf(const wire::LedgerEntry& entry) -> TeamId {
  return TeamId(entry.has_bill() ? entry.bill().team()
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

auto WitnessDesk::Protect(Instant now,
                          RequestHandle handle,
                          std::vector<wire::LedgerEntry> entries) -> void {
  const std::optional<PeerAddress> witness = this->witness_address();
  if (entries.empty() || !witness) {
    this->unprotected += entries.empty() ? 0 : 1;
    this->actions.Push(ReleaseAnswer{handle});
    return;
  }
  const std::uint64_t id = this->next_note++;
  Note& note = this->notes[id];
  note.handle = handle;
  note.deadline = now + kWitnessWait;
  note.witness = witness;
  wire::PeerMessage message;
  wire::EntryNote& out = *message.mutable_entry_note();
  out.set_note_id(id);
  for (wire::LedgerEntry& entry : entries) {
    note.open_entries.insert(entry.entry_id());
    this->note_of_entry[entry.entry_id()] = id;
    *out.add_entries() = std::move(entry);
  }
  this->actions.Push(SendPeer{*witness, std::move(message)});
}

auto WitnessDesk::Release(Note& note) -> void {
  if (!note.released) {
    note.released = true;
    this->actions.Push(ReleaseAnswer{note.handle});
  }
}

auto WitnessDesk::OnAck(const wire::EntryNoteAck& ack) -> void {
  const auto found = this->notes.find(ack.note_id());
  if (found != this->notes.end()) {
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
  this->done[*note.witness].add_note_ids(found->first);
  this->notes.erase(found);
}

//==============================================================================
// Witness

auto WitnessDesk::OnNote(Instant now,
                         const IncarnationId& from,
                         const PeerAddress& from_address,
                         const wire::EntryNote& note) -> void {
  Copy& copy = this->copies[{from, note.note_id()}];
  copy.due = now + kSubmitAfter;
  copy.entries.assign(note.entries().begin(), note.entries().end());
  wire::PeerMessage message;
  message.mutable_entry_note_ack()->set_note_id(note.note_id());
  this->actions.Push(SendPeer{from_address, std::move(message)});
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

auto WitnessDesk::SubmitCopy(Instant now, const Copy& copy) -> void {
  for (const wire::LedgerEntry& entry : copy.entries) {
    if (!this->outbox.Contains(entry.entry_id())) {
      this->outbox.Add(now, this->partitions.PartitionOf(TeamOf(entry)), entry,
                       Urgency::kBatched);
    }
  }
}

//==============================================================================

auto WitnessDesk::Tick(Instant now) -> void {
  for (auto& [id, note] : this->notes) {
    if (!note.released && now >= note.deadline) {
      ++this->unprotected;
      this->Release(note);
    }
  }
  std::erase_if(this->copies, [&](const auto& item) {
    if (now < item.second.due) {
      return false;
    }
    this->SubmitCopy(now, item.second);
    return true;
  });
  if (now < this->next_done) {
    return;
  }
  this->next_done = now + kDoneInterval;
  for (auto& [address, recorded] : std::exchange(this->done, {})) {
    wire::PeerMessage message;
    *message.mutable_entry_note_done() = std::move(recorded);
    this->actions.Push(SendPeer{address, std::move(message)});
  }
}

}  // namespace auburnloft

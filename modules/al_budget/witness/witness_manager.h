#ifndef AL_BUDGET_WITNESS_WITNESS_MANAGER_H_
#define AL_BUDGET_WITNESS_WITNESS_MANAGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "al_actions/action_queue.h"
#include "al_budget/outbox/entry_outbox.h"
#include "al_core/ids/ids.h"
#include "al_ledger/records/partition_map.h"
#include "peer.pb.h"

namespace auburnloft {

/** Keeps a copy of unrecorded bills at a second router, so that a router that
   dies after an answer does not leave it unbilled.

    As sender: the final part of an answer is held back until a witness in
   another failure domain has a copy of its bill, or until a short time limit,
   since a caller must not wait for a witness that is cut off. As witness:
   entries that their sender does not report as recorded are submitted by this
   router. Entries are idempotent, so this needs no proof that the sender is
    dead. Copies help to bill; no promise about overspend rests on them.

    Thread safety: none; used on one thread.

    @see EntryOutbox
*/
class WitnessManager {
 public:
  /** Where the witness of this router listens; empty where no other router is
   * heard of. */
  using WitnessAddress = std::function<std::optional<PeerAddress>()>;

  WitnessManager(PartitionMap partitions,
                 ActionQueue& actions,
                 EntryOutbox& outbox,
                 WitnessAddress witness_address);

  WitnessManager(const WitnessManager&) = delete;
  auto operator=(const WitnessManager&) -> WitnessManager& = delete;

  //============================================================================
  // Commands of the sender

  /** Copies an entry to the witness, without an answer that waits for it. */
  auto Copy(Instant now, const wire::LedgerEntry& entry) -> void;

  /** Copies `entries` to the witness and releases the answer of `handle` once
   * they are there. */
  auto ReleaseAfterCopy(Instant now,
                        RequestHandle handle,
                        std::vector<wire::LedgerEntry> entries) -> void;

  auto OnAck(const wire::EntryNoteAck& ack) -> void;

  /** Notes that an entry is recorded; its copy is no longer needed. */
  auto OnRecorded(std::string_view entry_id) -> void;

  //============================================================================
  // Commands of the witness

  auto OnNote(Instant now,
              const IncarnationId& from,
              const PeerAddress& from_address,
              const wire::EntryNote& note) -> void;

  auto OnDone(const IncarnationId& from, const wire::EntryNoteDone& recorded)
      -> void;

  /** Submits at once what a dead router left here. */
  auto OnHolderExpired(
      Instant now,
      const std::function<bool(const IncarnationId&)>& is_expired) -> void;

  //============================================================================

  /** Releases answers whose witness is late, and submits copies whose time has
   * come. */
  auto Tick(Instant now) -> void;

  /** All entries that are held for other routers. Valid until the next command.
   */
  [[nodiscard]] auto HeldEntries() const
      -> std::vector<const wire::LedgerEntry*>;

  /** Copies held for other routers. */
  [[nodiscard]] auto copies_held() const -> std::size_t {
    return this->held_copies.size();
  }

  /** Answers that were released without a copy of their bill. */
  [[nodiscard]] auto released_unprotected() const -> std::uint64_t {
    return this->released_without_copy;
  }

 private:
  struct PendingCopy {
    RequestHandle handle = 0;
    Instant deadline;
    Instant next_send;  ///< When its copy is looked after again.
    bool released = false;
    bool has_copy = false;  ///< `witness` has acknowledged it.
    PeerAddress witness;
    wire::EntryNote note;
    std::set<std::string> unrecorded_entries;
  };
  struct HeldCopy {
    Instant due;
    std::vector<wire::LedgerEntry> entries;
  };
  using CopyKey = std::pair<IncarnationId, std::uint64_t>;

  auto AddCopy(Instant now, std::vector<wire::LedgerEntry> entries)
      -> PendingCopy&;
  auto SendToWitness(Instant now, PendingCopy& note) -> void;
  auto CheckPendingCopies(Instant now) -> void;
  auto SubmitDueCopies(Instant now) -> void;
  auto ReleaseResponse(PendingCopy& note) -> void;
  auto SubmitCopy(Instant now, const HeldCopy& copy) -> void;

  PartitionMap partitions;
  ActionQueue& actions;
  EntryOutbox& outbox;
  WitnessAddress witness_address;
  std::map<std::uint64_t, PendingCopy> pending_copies;
  std::multimap<Instant, std::uint64_t> pending_copies_due;
  std::map<std::string, std::uint64_t, std::less<>> copy_of_entry;
  std::map<PeerAddress, wire::EntryNoteDone> recorded_notes;
  Instant next_recorded_report;
  std::map<CopyKey, HeldCopy> held_copies;
  std::deque<std::pair<Instant, CopyKey>>
      held_copies_due;  ///< In order of time.
  std::uint64_t next_note_id = 1;
  std::uint64_t released_without_copy = 0;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_WITNESS_WITNESS_MANAGER_H_

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

/** Stores copies of unrecorded entries at a second router (the witness), so
    that a response is billed even if the router that sent it fails.

    Sender: the final part of a response is held back until a witness in another
    failure domain has a copy of its bill, or until a short timeout, because a
    caller must not wait for a witness that is unreachable. Witness: this router
    submits entries that their sender does not report as recorded. Entries are
    idempotent, so the sender need not be known to have failed. Copies make it
    more likely that a response is billed; the bound on overspending does not
    depend on them.

    Thread safety: none; used on one thread.

    @see EntryOutbox
*/
class WitnessManager {
 public:
  /** Returns the address of this router's witness; empty if no other router is
      available. */
  using WitnessAddress = std::function<std::optional<PeerAddress>()>;

  WitnessManager(PartitionMap partitions,
                 ActionQueue& actions,
                 EntryOutbox& outbox,
                 WitnessAddress witness_address);

  WitnessManager(const WitnessManager&) = delete;
  auto operator=(const WitnessManager&) -> WitnessManager& = delete;

  //============================================================================
  // Commands of the sender

  /** Copies an entry to the witness. No response waits for the copy. */
  auto Copy(Instant now, const wire::LedgerEntry& entry) -> void;

  /** Copies `entries` to the witness and releases the response of `handle` once
      the witness acknowledges them, or after a timeout. */
  auto ReleaseAfterCopy(Instant now,
                        RequestHandle handle,
                        std::vector<wire::LedgerEntry> entries) -> void;

  /** Handles the witness's acknowledgement of a copy: releases the response. */
  auto OnAck(const wire::EntryNoteAck& ack) -> void;

  /** Handles that the ledger has recorded an entry; its copy is no longer
      needed. */
  auto OnRecorded(std::string_view entry_id) -> void;

  //============================================================================
  // Commands of the witness

  /** Stores the copies that `from` sent and acknowledges them. */
  auto OnNote(Instant now,
              const IncarnationId& from,
              const PeerAddress& from_address,
              const wire::EntryNote& note) -> void;

  /** Removes copies whose entries `from` reports as recorded. */
  auto OnDone(const IncarnationId& from, const wire::EntryNoteDone& recorded)
      -> void;

  /** Submits the copies of expired routers at once. */
  auto OnHolderExpired(
      Instant now,
      const std::function<bool(const IncarnationId&)>& is_expired) -> void;

  //============================================================================

  /** Releases responses whose witness is late, resends copies, and submits the
      stored copies that are due. */
  auto Tick(Instant now) -> void;

  /** All entries stored for other routers. Valid until the next command.
   */
  [[nodiscard]] auto HeldEntries() const
      -> std::vector<const wire::LedgerEntry*>;

  /** The number of copies stored for other routers. */
  [[nodiscard]] auto copies_held() const -> std::size_t {
    return this->held_copies.size();
  }

  /** The number of responses that were released before a witness had a copy of
      their bill. */
  [[nodiscard]] auto released_unprotected() const -> std::uint64_t {
    return this->released_without_copy;
  }

 private:
  struct PendingCopy {
    RequestHandle handle = 0;
    Instant deadline;
    Instant next_send;  ///< When the copy is resent or its witness checked.
    bool released = false;
    bool has_copy = false;  ///< `witness` has acknowledged the copy.
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
  auto SendToWitness(Instant now, PendingCopy& copy) -> void;
  auto CheckPendingCopies(Instant now) -> void;
  auto SubmitDueCopies(Instant now) -> void;
  auto ReleaseHeldResponse(PendingCopy& copy) -> void;
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
      held_copies_due;  ///< In order of due time.
  std::uint64_t next_note_id = 1;
  std::uint64_t released_without_copy = 0;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_WITNESS_WITNESS_MANAGER_H_

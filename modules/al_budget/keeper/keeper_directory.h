#ifndef AL_BUDGET_KEEPER_KEEPER_DIRECTORY_H_
#define AL_BUDGET_KEEPER_KEEPER_DIRECTORY_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/ids/incarnation.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** The router to which entries are submitted. */
struct KeeperTarget {
  RouterId router;
  std::uint64_t suspected_epoch =
      0;  ///< Epoch of the keeper that does not reply and that `router` should
          ///< replace; 0 if `router` is the keeper.
};

/** Estimates which router is the keeper (the leader) of each partition, and
    selects another router if the keeper does not reply.

    The estimate may be out of date: the ledger's replay determines the keeper.
    A wrong estimate costs a message but never tokens.

    Thread safety: none; used on one thread.

    @see KeeperHost
*/
class KeeperDirectory {
 public:
  struct KeeperInfo {
    IncarnationId keeper;
    std::uint64_t epoch = 0;
  };

  //============================================================================
  // Commands

  /** Stores that `keeper` has been the keeper of `partition` since `epoch`.
      @return true if that is newer than the stored keeper. */
  auto Update(PartitionIndex partition,
              const IncarnationId& keeper,
              std::uint64_t epoch) -> bool;

  /** Records a submission to `target` that waits for a reply. */
  auto RecordSend(Instant now,
                  PartitionIndex partition,
                  const KeeperTarget& target) -> void;

  /** Records a reply from the router to which entries were submitted.
      @param stalled  true if the replying router cannot reach the log service
     or is not the keeper yet. */
  auto RecordReply(PartitionIndex partition, bool stalled) -> void;

  //============================================================================
  // Queries

  /** The router to which entries of `partition` should be sent now; empty if
      `active` is empty. @param active  the routers that may be keepers. */
  [[nodiscard]] auto SelectTarget(Instant now,
                                  PartitionIndex partition,
                                  std::span<const RouterId> active) const
      -> std::optional<KeeperTarget>;

  /** The router of the last submission; empty if no submission waits for a
      reply. */
  [[nodiscard]] auto LastTarget(PartitionIndex partition) const -> RouterId;

  /** The latest known keeper of `partition`; empty if none is known. */
  [[nodiscard]] auto Find(PartitionIndex partition) const
      -> std::optional<KeeperInfo>;

  [[nodiscard]] auto all() const
      -> const std::map<PartitionIndex, KeeperInfo>& {
    return this->known_keepers;
  }

  /** The routers of `active` in the order of preference as the keeper of
      `partition`. It is the same in every process.
   */
  [[nodiscard]] static auto RankCandidates(PartitionIndex partition,
                                           std::span<const RouterId> active)
      -> std::vector<RouterId>;

 private:
  struct PendingSubmission {
    KeeperTarget target;
    std::optional<Instant>
        unanswered_since;  ///< Time of the first submission since the last
                           ///< reply; empty after a reply from a stalled
                           ///< keeper.
    Instant
        unserved_since;  ///< Time since which no working keeper has replied.
  };

  std::map<PartitionIndex, KeeperInfo> known_keepers;
  std::map<PartitionIndex, PendingSubmission> pending_submissions;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_KEEPER_DIRECTORY_H_

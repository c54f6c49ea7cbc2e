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

/** Where a submission goes. */
struct KeeperTarget {
  RouterId router;
  std::uint64_t suspected_epoch =
      0;  ///< Of a keeper that does not answer; else 0.
};

/** Who is believed to keep each partition, and whom to turn to when it does not
   answer.

    A belief only: the ledger's fold decides who the keeper is. A wrong belief
   costs a message, never money.

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

  /** Learns that `keeper` keeps `partition` since `epoch`. @return true where
   * that is news. */
  auto Update(PartitionIndex partition,
              const IncarnationId& keeper,
              std::uint64_t epoch) -> bool;

  /** Notes a submission to `target` that waits for an answer. */
  auto RecordSend(Instant now,
                  PartitionIndex partition,
                  const KeeperTarget& target) -> void;

  /** Notes a word from the router that was asked; of a stalled keeper where
   * `stalled`. */
  auto RecordReply(PartitionIndex partition, bool stalled) -> void;

  //============================================================================
  // Queries

  /** Where to send entries of `partition`. `live` are the routers that may keep
     partitions; empty where there are none. */
  [[nodiscard]] auto SelectTarget(Instant now,
                                  PartitionIndex partition,
                                  std::span<const RouterId> live) const
      -> std::optional<KeeperTarget>;

  /** The router that the last submission went to; empty where none waits for an
   * answer. */
  [[nodiscard]] auto LastTarget(PartitionIndex partition) const -> RouterId;

  /** What is known of `partition`; empty where nothing is. */
  [[nodiscard]] auto Find(PartitionIndex partition) const
      -> std::optional<KeeperInfo>;

  [[nodiscard]] auto all() const
      -> const std::map<PartitionIndex, KeeperInfo>& {
    return this->known;
  }

  /** The routers of `live` in the order in which they should keep `partition`.
   */
  [[nodiscard]] static auto RankCandidates(PartitionIndex partition,
                                           std::span<const RouterId> live)
      -> std::vector<RouterId>;

 private:
  struct PendingSubmission {
    KeeperTarget target;
    std::optional<Instant> silent_since;  ///< Of the first send without a word.
    Instant unserved_since;  ///< No word of a working keeper since then.
  };

  std::map<PartitionIndex, KeeperInfo> known;
  std::map<PartitionIndex, PendingSubmission> waiting;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_KEEPER_DIRECTORY_H_

#ifndef AL_BUDGET_KEEPER_RECLAIM_MANAGER_H_
#define AL_BUDGET_KEEPER_RECLAIM_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "al_actions/action_queue.h"
#include "al_budget/keeper/keeper_host.h"
#include "peer.pb.h"

namespace auburnloft {

/** Brings back to the budgets what dead holders did not draw.

    For each dead holder with tokens out in a partition that this router keeps,
   it asks all the witnesses that the ledger names. Only when each of them
   answers, as the very incarnation that is named, is the account closed at the
   highest limit that one of them knows.

    Thread safety: none; used on one thread.

    @see DrawLimitManager, KeeperHost
*/
class ReclaimManager {
 public:
  using IsExpired = std::function<bool(const IncarnationId&)>;
  using AddressOf =
      std::function<std::optional<PeerAddress>(const IncarnationId&)>;

  ReclaimManager(ActionQueue& actions, KeeperHost& host, AddressOf address_of);

  ReclaimManager(const ReclaimManager&) = delete;
  auto operator=(const ReclaimManager&) -> ReclaimManager& = delete;

  /** Asks the witnesses of dead holders. */
  auto QueryWitnesses(const IsExpired& is_expired) -> void;

  auto OnReply(Instant now,
               const IncarnationId& from,
               const wire::DrawReply& reply) -> void;

 private:
  struct WitnessQuery {
    PartitionIndex partition = 0;
    std::uint64_t op_seq = 0;
    std::vector<IncarnationId> witnesses;
    std::map<IncarnationId, Tokens> limits;
  };
  using Subject = std::pair<IncarnationId, TeamId>;

  auto QueryWitnessesOf(PartitionIndex partition,
                        const TeamId& team,
                        const IncarnationId& holder,
                        const HolderBalance& balance) -> void;

  ActionQueue& actions;
  KeeperHost& host;
  AddressOf address_of;
  std::map<Subject, WitnessQuery> queries;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_RECLAIM_MANAGER_H_

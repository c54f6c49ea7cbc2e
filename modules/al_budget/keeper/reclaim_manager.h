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

/** Returns the tokens that expired holders did not draw to the budgets.

    For each expired holder with tokens in a partition whose keeper (leader) is
    this router, it queries all witnesses named in the ledger: the routers that
    store replicas of the holder's draw limit. Only after the very incarnations
    that are named have all replied does it submit a reclaim entry, which closes
    the account at the highest limit that any of them stores.

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

  /** Queries the witnesses of all expired holders with open accounts. */
  auto QueryWitnesses(const IsExpired& is_expired) -> void;

  /** Handles a witness's reply. After the last missing one, submits the reclaim
      entry to this router's keeper. */
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

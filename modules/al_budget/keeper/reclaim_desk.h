#ifndef AL_BUDGET_KEEPER_RECLAIM_DESK_H_
#define AL_BUDGET_KEEPER_RECLAIM_DESK_H_

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

    @see DrawLimitDesk, KeeperHost
*/
class ReclaimDesk {
 public:
  using IsDead = std::function<bool(const IncarnationId&)>;
  using AddressOf =
      std::function<std::optional<PeerAddress>(const IncarnationId&)>;

  ReclaimDesk(ActionQueue& actions, KeeperHost& host, AddressOf address_of);

  ReclaimDesk(const ReclaimDesk&) = delete;
  auto operator=(const ReclaimDesk&) -> ReclaimDesk& = delete;

  /** Asks the witnesses of dead holders. */
  auto Look(const IsDead& is_dead) -> void;

  auto OnReply(Instant now,
               const IncarnationId& from,
               const wire::DrawReply& reply) -> void;

 private:
  struct Inquiry {
    PartitionIndex partition = 0;
    std::uint64_t op_seq = 0;
    std::vector<IncarnationId> witnesses;
    std::map<IncarnationId, Tokens> limits;
  };
  using Subject = std::pair<IncarnationId, TeamId>;

  auto Ask(PartitionIndex partition,
           const TeamId& team,
           const IncarnationId& holder,
           const HolderBalance& balance) -> void;

  ActionQueue& actions;
  KeeperHost& host;
  AddressOf address_of;
  std::map<Subject, Inquiry> inquiries;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_RECLAIM_DESK_H_

#ifndef AL_BUDGET_WITNESS_DRAW_LIMIT_MANAGER_H_
#define AL_BUDGET_WITNESS_DRAW_LIMIT_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "al_actions/action_queue.h"
#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"
#include "peer.pb.h"

namespace auburnloft {

/** Maintains draw limits, so that tokens that a failed router did not draw can
    return to the budget.

    A holder draws from its allowance only up to a limit that at least one of
    its witnesses has acknowledged. A witness is a router that stores a replica
    of the limit; the grant in the ledger names the holder's witnesses. Once the
    holder is expired and all of its witnesses have reported their replicas, it
    cannot have drawn more than the highest of these limits, so the rest of its
    allowance can be reclaimed. This does not depend on timeouts: a holder that
    was paused and resumes is still bound by its limit, and if a witness is
    missing, the tokens merely stay allocated.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator, ReclaimManager
*/
class DrawLimitManager {
 public:
  using AddressOf =
      std::function<std::optional<PeerAddress>(const IncarnationId&)>;

  DrawLimitManager(ActionQueue& actions, AddressOf address_of);

  DrawLimitManager(const DrawLimitManager&) = delete;
  auto operator=(const DrawLimitManager&) -> DrawLimitManager& = delete;

  //============================================================================
  // Commands of the holder

  /** Replaces the witnesses with those that a recorded grant names, and resets
      the limit. Without witnesses, no limits are sent. */
  auto SetWitnesses(const TeamId& team,
                    std::uint64_t op_seq,
                    std::vector<IncarnationId> witnesses) -> void;

  /** Requests a higher limit from the witnesses, and resends the request until
      one of them acknowledges it. Does nothing without witnesses or if `limit`
      was already requested. */
  auto RequestIncrease(Instant now, const TeamId& team, Tokens limit) -> void;

  /** Handles an acknowledgement. @return the team's acknowledged limit if this
      message increased it; empty otherwise. */
  auto OnAck(const wire::DrawAck& ack) -> std::optional<Tokens>;

  /** Resends unacknowledged requests that are due. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Commands of the witness

  /** Stores the draw limit of the holder `from` and acknowledges it. Ignores a
      limit of an earlier grant. */
  auto OnNote(const IncarnationId& from,
              const PeerAddress& from_address,
              const wire::DrawNote& note) -> void;

  /** Replies to a keeper with the stored draw limit of a holder, or that none
     is stored for the given grant. */
  auto OnAsk(const PeerAddress& from_address, const wire::DrawAsk& ask) -> void;

  //============================================================================
  // Queries

  /** When the unacknowledged increase was requested; empty if there is none. */
  [[nodiscard]] auto UnacknowledgedSince(const TeamId& team) const
      -> std::optional<Instant>;

  /** The witnesses of this router's draw limit for `team`. */
  [[nodiscard]] auto WitnessesOf(const TeamId& team) const
      -> std::vector<IncarnationId>;

  /** The number of draw limits stored for other routers. */
  [[nodiscard]] auto limits_kept() const -> std::size_t {
    return this->witnessed_limits.size();
  }

 private:
  struct HolderLimit {
    std::uint64_t op_seq = 0;
    std::vector<IncarnationId> witnesses;
    Tokens acknowledged = 0;
    Tokens requested = 0;
    Instant requested_since;
    Instant next_send;
  };
  struct WitnessedLimit {
    std::uint64_t op_seq = 0;
    Tokens limit = 0;
  };

  auto Send(Instant now, const TeamId& team, HolderLimit& holder_limit) -> void;

  ActionQueue& actions;
  AddressOf address_of;
  std::map<TeamId, HolderLimit> holder_limits;
  std::map<std::pair<IncarnationId, TeamId>, WitnessedLimit> witnessed_limits;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_WITNESS_DRAW_LIMIT_MANAGER_H_

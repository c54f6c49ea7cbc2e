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

/** Keeps draw limits, so that what a dead router did not draw returns to the
   budget.

    A holder draws on its allowance no further than a limit that at least one of
   its witnesses has acknowledged. A grant names the witnesses in the ledger.
   When the holder is dead for a fact, all witnesses together know a limit that
   it cannot have passed: the rest of its allowance is free again. No clock
   decides: a paused holder that wakes up is still bound by its limit, and a
    witness that is missing only leaves the tokens out.

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

  /** Starts anew with the witnesses that a recorded grant names; none lift the
   * limit. */
  auto SetWitnesses(const TeamId& team,
                    std::uint64_t op_seq,
                    std::vector<IncarnationId> witnesses) -> void;

  /** Asks the witnesses for a higher limit, once and then at intervals until
   * one agrees. */
  auto RequestIncrease(Instant now, const TeamId& team, Tokens limit) -> void;

  /** @return the limit of the team that is acknowledged now, where the message
   * raised it. */
  auto OnAck(const wire::DrawAck& ack) -> std::optional<Tokens>;

  /** Repeats what was not acknowledged. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Commands of the witness

  auto OnNote(const IncarnationId& from,
              const PeerAddress& from_address,
              const wire::DrawNote& note) -> void;
  auto OnAsk(const PeerAddress& from_address, const wire::DrawAsk& ask) -> void;

  //============================================================================
  // Queries

  /** Since when a raise waits in vain; empty where none does. */
  [[nodiscard]] auto UnacknowledgedSince(const TeamId& team) const
      -> std::optional<Instant>;
  [[nodiscard]] auto WitnessesOf(const TeamId& team) const
      -> std::vector<IncarnationId>;
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

#ifndef AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_
#define AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_

#include <algorithm>
#include <limits>
#include <map>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** The tokens of one team in the hands of this router. */
struct TeamAllowance {
  static constexpr Tokens kNoLimit = std::numeric_limits<Tokens>::max();

  Tokens free = 0;
  Tokens reserved = 0;  ///< Upper bounds of requests that are running.
  Tokens received = 0;  ///< Cumulative grants and transfers in, less returns.
  Tokens draw_limit =
      kNoLimit;  ///< AllowanceOf `received`, what may leave `free`.
  Tokens max_reservation = 0;
  double tokens_per_second = 0.0;  ///< Smoothed rate of spending.
  Instant rate_updated;

  /** What is reserved, spent or given away of all that was received. */
  [[nodiscard]] auto DrawnTokens() const -> Tokens {
    return this->received - this->free;
  }

  /** What may be taken of the free tokens now. */
  [[nodiscard]] auto SpendableTokens() const -> Tokens {
    return this->draw_limit == kNoLimit
               ? this->free
               : std::min(this->free, this->draw_limit - this->DrawnTokens());
  }
};

/** All allowances of one router, and the spending from them.

    A request reserves an upper bound first and settles for the true count
   later; nothing is spent that was not reserved, and nothing is reserved that
   is not free.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator
*/
class AllowanceTable {
 public:
  using Teams = std::map<TeamId, TeamAllowance, std::less<>>;

  //============================================================================
  // Commands

  /** Adds tokens that a ledger record or a transfer moved to this router.  @pre
   * tokens >= 0. */
  auto Receive(const TeamId& team, Tokens tokens) -> void;

  /** Gives back tokens of a bill that was void.  @pre tokens >= 0. */
  auto Restore(const TeamId& team, Tokens tokens) -> void;

  /** Reserves `tokens` where as many are free. */
  [[nodiscard]] auto TryReserve(const TeamId& team, Tokens tokens) -> bool;

  /** Ends a reservation, of which `spent` was used.  @pre 0 <= spent <=
   * reserved. */
  auto Settle(Instant now, const TeamId& team, Tokens reserved, Tokens spent)
      -> void;

  /** Takes free tokens out, for a transfer. */
  [[nodiscard]] auto TryDebit(const TeamId& team, Tokens tokens) -> bool;

  /** Takes free tokens out, for a return; they count as never received. */
  [[nodiscard]] auto TryReturn(const TeamId& team, Tokens tokens) -> bool;

  /** Sets how far the allowance may be drawn on. */
  auto SetDrawLimit(const TeamId& team, Tokens limit) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto teams() const -> const Teams& { return this->all_teams; }

  /** The allowance of `team`; an empty one where there is none. */
  [[nodiscard]] auto AllowanceOf(const TeamId& team) const -> TeamAllowance;

  /** The rate of spending of `team`, decayed to `now`, in tokens a second. */
  [[nodiscard]] auto RateOf(Instant now, const TeamId& team) const -> double;

 private:
  Teams all_teams;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_

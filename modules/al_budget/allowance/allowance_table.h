#ifndef AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_
#define AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_

#include <algorithm>
#include <limits>
#include <map>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** This router's allowance from the budget of one team. All amounts are
    tokens. */
struct TeamAllowance {
  static constexpr Tokens kNoLimit = std::numeric_limits<Tokens>::max();

  Tokens free = 0;
  Tokens reserved = 0;  ///< Upper bounds of the cost of requests in progress.
  Tokens received =
      0;  ///< Sum of grants and incoming transfers, minus returns.
  Tokens draw_limit = kNoLimit;  ///< Bound for DrawnTokens().
  Tokens max_reservation = 0;
  double tokens_per_second = 0.0;  ///< Moving average of the rate of spending.
  Instant rate_updated;

  /** The part of `received` that is reserved, spent or transferred to another
      holder. */
  [[nodiscard]] auto DrawnTokens() const -> Tokens {
    return this->received - this->free;
  }

  /** The free tokens that may be drawn now without exceeding the draw limit. */
  [[nodiscard]] auto SpendableTokens() const -> Tokens {
    return this->draw_limit == kNoLimit
               ? this->free
               : std::min(this->free, this->draw_limit - this->DrawnTokens());
  }
};

/** All allowances of one router.

    A request first reserves an upper bound of its cost and later settles for
    the actual number of tokens. Only reserved tokens are spent, and only free
    tokens are reserved.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator
*/
class AllowanceTable {
 public:
  using Teams = std::map<TeamId, TeamAllowance, std::less<>>;

  //============================================================================
  // Commands

  /** Adds tokens that a grant or a transfer moved to this router.
      @pre tokens >= 0. */
  auto Receive(const TeamId& team, Tokens tokens) -> void;

  /** Adds the tokens of a rejected bill to the free tokens again.
      @pre tokens >= 0. */
  auto Restore(const TeamId& team, Tokens tokens) -> void;

  /** Reserves `tokens` if that many are spendable. @return false if not. */
  [[nodiscard]] auto TryReserve(const TeamId& team, Tokens tokens) -> bool;

  /** Ends a reservation of `reserved` tokens, of which `spent` were used.
      @pre 0 <= spent <= reserved. */
  auto Settle(Instant now, const TeamId& team, Tokens reserved, Tokens spent)
      -> void;

  /** Removes free tokens for a transfer to another holder.
      @return false if fewer are spendable. */
  [[nodiscard]] auto TryDebit(const TeamId& team, Tokens tokens) -> bool;

  /** Removes free tokens to return them to the budget, from `received` too.
      @return false if fewer are free. */
  [[nodiscard]] auto TryReturn(const TeamId& team, Tokens tokens) -> bool;

  /** Sets the bound for TeamAllowance::DrawnTokens(). */
  auto SetDrawLimit(const TeamId& team, Tokens limit) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto teams() const -> const Teams& { return this->all_teams; }

  /** The allowance of `team`, or an empty allowance if there is none. */
  [[nodiscard]] auto AllowanceOf(const TeamId& team) const -> TeamAllowance;

  /** The moving average of the spending of `team` at `now`, in tokens per
      second. */
  [[nodiscard]] auto RateOf(Instant now, const TeamId& team) const -> double;

 private:
  Teams all_teams;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_ALLOWANCE_ALLOWANCE_TABLE_H_

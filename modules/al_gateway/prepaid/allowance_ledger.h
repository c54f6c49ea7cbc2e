#ifndef AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_
#define AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** A ledger entry: what one router incarnation has taken of a team's budget.

    Both totals are net of the tokens that other routers transferred to the
   holder. They are negative for a holder that received tokens and returned
   them to the budget. */
struct AllowanceEntry {
  std::string team;
  std::string holder;
  std::int64_t taken_tokens = 0;    ///< Falls when tokens are returned.
  std::int64_t settled_tokens = 0;  ///< Spent or transferred to others; at most
                                    ///< `taken_tokens`.
  std::int64_t reserved_tokens = 0;  ///< For requests that have not ended, the
                                     ///< queued ones included.

  /** Returns the tokens that the holder could transfer to others. */
  [[nodiscard]] auto unspent_tokens() const -> std::uint64_t {
    const std::int64_t rest =
        this->taken_tokens - this->settled_tokens - this->reserved_tokens;
    return rest > 0 ? static_cast<std::uint64_t>(rest) : 0;
  }
  double demand_per_second = 0.0;         ///< Decayed rate of requested tokens.
  double steady_demand_per_second = 0.0;  ///< The part of it for which the
                                          ///< holder takes tokens itself.
  double ahead_demand_per_second = 0.0;   ///< The part for which other routers
                                          ///< get tokens ahead from it.
  std::uint64_t revision = 0;  ///< Increases with each entry of a holder.
};

/** Holds the newest entry of each holder (router incarnation) of each team,
   applied in the order of the log service's topic ("the log").

    An entry that increases what its holder has taken is valid if, at the
   entry's position in the log, the sum over the newest entries of all holders,
   including itself, is within the team's budget. A holder spends only what a
   valid entry covers, and lowers its own limit before it appends a lower entry.
   Therefore the holders together can never spend more than the budget: at the
   last valid increase the sum was within the budget, and no entry in the sum
   was below what its holder could spend. This requires only the newest entry of
   each key, which the log keeps indefinitely.

    A restore of the log from an older copy loses entries by which their holders
   go on to spend. The ledger keeps the newest entry that it has read of each
   holder, by its revision, whatever the log has now; BeginEra() and
   MissingEntries() tell which of them the log lacks, so that routers can write
   them again on behalf of holders that are gone.

    A transfer between holders needs no entry: the sender counts it as spent
   before it sends, and its entries cover it for good; the receiver may then
   lower its own entry by the same amount, below 0 if need be, without a change
   of the sum over both.

    Thread safety: none; used on one thread.
*/
class AllowanceLedger {
 public:
  using IsActive = std::function<bool(std::string_view holder)>;

  /** Sums over a team's holders. */
  struct Totals {
    std::int64_t taken = 0;  ///< By all holders.
    std::int64_t settled_by_active = 0;
    std::int64_t reserved_by_active = 0;
    std::int64_t taken_by_expired = 0;    ///< Counts as spent: the use of the
                                          ///< unsettled part is unknown.
    std::int64_t settled_by_expired = 0;  ///< The part that was reported spent.
    double demand_of_active = 0.0;        ///< Tokens per second.
    double steady_demand_of_active = 0.0;  ///< Tokens per second.
    double ahead_demand_of_active = 0.0;   ///< Tokens per second.
  };

  //============================================================================
  // Commands

  /** Applies the next entry of the log. It replaces the holder's last one
     unless that has a higher revision: it was lost, or written on behalf of the
     holder.
   */
  auto Apply(const AllowanceEntry& entry) -> void;

  /** Keeps an entry that was not read from the log, unless its holder has a
     newer one. */
  auto Learn(const AllowanceEntry& entry) -> void;

  /** Records that the log was restored from an older copy and is listed again.
   */
  auto BeginEra() -> void;

  //============================================================================
  // Queries

  /** Returns the tokens that all holders have taken. */
  [[nodiscard]] auto Taken(std::string_view team) const -> std::int64_t;

  /** Returns the entries that the log lacks since it was restored.
      @param writes_for  whether this router writes for a holder. */
  [[nodiscard]] auto MissingEntries(const IsActive& writes_for) const
      -> std::vector<AllowanceEntry>;

  /** Returns the sums over a team's holders.
      @param is_active  tells whether a holder is an active router incarnation.
   */
  [[nodiscard]] auto TotalsOf(std::string_view team,
                              const IsActive& is_active) const -> Totals;

  /** Returns the tokens that the active holders of each team request in `span`,
     by the demand that they reported last. */
  [[nodiscard]] auto DemandOver(Duration span, const IsActive& is_active) const
      -> std::map<std::string, std::uint64_t>;

  /** Calls `visit` with the newest entry of each holder of a team. */
  auto VisitTeam(std::string_view team,
                 const std::function<void(const AllowanceEntry&)>& visit) const
      -> void;

  /** Calls `visit` with the newest entry of each holder of each team. */
  auto VisitAll(const std::function<void(const AllowanceEntry&)>& visit) const
      -> void;

 private:
  struct HolderEntry {
    AllowanceEntry newest;              ///< By its revision.
    std::uint64_t logged_revision = 0;  ///< Of those that the log has.
    bool is_logged = false;             ///< Whether the log has any.
  };
  struct TeamEntries {
    std::unordered_map<std::string, HolderEntry> by_holder;
    std::int64_t taken = 0;
  };

  std::unordered_map<std::string, TeamEntries> teams;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_

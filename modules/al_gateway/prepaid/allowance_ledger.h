#ifndef AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_
#define AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnloft::gateway {

/** What one life of a router has taken of a team's budget, as it last wrote. */
struct AllowanceEntry {
  std::string team;
  std::string holder;
  std::uint64_t taken_tokens = 0;  ///< In all; falls when some are returned.
  std::uint64_t settled_tokens =
      0;                           ///< Spent for good; at most what was taken.
  double demand_per_second = 0.0;  ///< Tokens asked for, decayed.
  std::uint64_t revision = 0;      ///< Counts up with the holder's records.
};

/** The newest entry of each holder of each team, in the order of the log.

    An entry that raises what its holder has taken is valid where the sum of all
   newest entries, its own included, is within the team's budget at its place on
   the log. A holder spends only what a valid entry covers, and lowers what it
   may spend before it writes a lower entry. So what all holders may spend never
   exceeds the budget: at the last valid raise the sum was within it, and no
   entry of that sum was below what its holder might spend. This needs only the
   newest entry of each key, which the log keeps for good.

    Thread safety: none; used on one thread.
*/
class AllowanceLedger {
 public:
  using IsActive = std::function<bool(std::string_view holder)>;

  /** What is known of a team over all holders. */
  struct Totals {
    std::uint64_t taken = 0;
    std::uint64_t settled_by_active = 0;
    std::uint64_t taken_by_expired =
        0;                          ///< Cannot be told from what they spent.
    double demand_of_active = 0.0;  ///< Tokens a second.
  };

  //============================================================================
  // Commands

  /** Takes the next record of the log. */
  auto Apply(AllowanceEntry entry) -> void;

  //============================================================================
  // Queries

  /** The sum of what all holders have taken. */
  [[nodiscard]] auto Taken(std::string_view team) const -> std::uint64_t;

  /** Sums over a team's holders, the living apart from the dead. */
  [[nodiscard]] auto TotalsOf(std::string_view team,
                              const IsActive& is_active) const -> Totals;

  /** Calls `visit` with each entry of a team. */
  auto VisitTeam(std::string_view team,
                 const std::function<void(const AllowanceEntry&)>& visit) const
      -> void;

  /** Calls `visit` with each entry. */
  auto VisitAll(const std::function<void(const AllowanceEntry&)>& visit) const
      -> void;

 private:
  struct TeamEntries {
    std::unordered_map<std::string, AllowanceEntry> by_holder;
    std::uint64_t taken = 0;
  };

  std::unordered_map<std::string, TeamEntries> teams;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_ALLOWANCE_LEDGER_H_

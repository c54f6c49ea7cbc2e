#ifndef AL_LEDGER_FOLD_TEAM_ACCOUNT_H_
#define AL_LEDGER_FOLD_TEAM_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_ledger/fold/key_digest.h"
#include "ledger.pb.h"
#include "peer.pb.h"

namespace auburnloft {

/** The tokens of one holder within a team's budget, as the ledger records them.
 */
struct HolderBalance {
  Tokens tokens = 0;      ///< Out with the holder and not yet billed; negative
                          ///< while a transfer to it is not recorded yet.
  Tokens received = 0;    ///< Cumulative grants and transfers in, less returns.
  Tokens last_grant = 0;  ///< The amount of the grant with number `op_seq`.
  std::uint64_t op_seq = 0;  ///< The last grant or return that took effect.
  bool closed = false;  ///< The holder is dead; it receives no more grants.
  std::vector<IncarnationId> witnesses;  ///< Of its draw limit, since `op_seq`.
};

/** The money of one team: top-ups, allowances out, bills.

    A part of the fold: applies one entry at a time and answers whether it was
   valid at its place. In every state topped_up() == billed() + unallocated() +
   TotalAllowances(), and none of them is negative, so that bills never exceed
   the top-ups.

    Holders move tokens to each other before the ledger hears of it, and the
   records of that may come late, in any order, or never, when all who had a
   copy died. A bill is therefore covered by all allowances together: the
   account of one holder may be negative until the transfer to it is recorded.

    Thread safety: none; used on one thread.

    @see PartitionLedger, TeamClaims
*/
class TeamAccount {
 public:
  using Holders = std::map<IncarnationId, HolderBalance, std::less<>>;

  explicit TeamAccount(TeamId team) : team(std::move(team)) {}

  //============================================================================
  // Commands: each applies one entry and returns the verdict on it.

  auto Apply(const wire::TopUp& entry) -> wire::Verdict;
  auto Apply(const wire::Grant& entry) -> wire::Verdict;
  auto Apply(const wire::Return& entry) -> wire::Verdict;
  auto Apply(const wire::Transfer& entry) -> wire::Verdict;

  /** @param oldest_ms  requests issued before this are too old to be billed. */
  auto Apply(const wire::Bill& entry, std::int64_t oldest_ms) -> wire::Verdict;

  /** Returns to the budget what a dead holder did not draw, and closes its
   * account. */
  auto Apply(const wire::Reclaim& entry) -> wire::Verdict;

  /** Forgets bills of requests issued before `oldest_ms`. */
  auto PruneBills(std::int64_t oldest_ms) -> void;

  /** Replaces the state by that of a snapshot. */
  auto Load(const wire::TeamSnapshot& snapshot) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto id() const -> const TeamId& { return this->team; }
  [[nodiscard]] auto topped_up() const -> Tokens {
    return this->topped_up_tokens;
  }
  [[nodiscard]] auto unallocated() const -> Tokens {
    return this->unallocated_tokens;
  }
  [[nodiscard]] auto billed() const -> Tokens { return this->billed_tokens; }
  [[nodiscard]] auto bill_count() const -> std::uint64_t {
    return this->total_bill_count;
  }
  [[nodiscard]] auto holders() const -> const Holders& {
    return this->accounts;
  }

  /** The sum over all holders. */
  [[nodiscard]] auto TotalAllowances() const -> Tokens {
    return this->allocated_tokens;
  }

  /** The balance of `holder`; an empty one where it never held tokens. */
  [[nodiscard]] auto BalanceOf(const IncarnationId& holder) const
      -> HolderBalance;

  /** True where a bill for `key` is remembered. */
  [[nodiscard]] auto IsBilled(const RequestKey& key) const -> bool;

  /** Writes the state into `snapshot`. */
  auto Save(wire::TeamSnapshot& snapshot) const -> void;

 private:
  auto Deduct(HolderBalance& account, Tokens tokens) -> void;

  struct RecordedBill {
    std::uint64_t run_digest = 0;
    std::int64_t issued_at_ms = 0;
  };

  TeamId team;
  Tokens topped_up_tokens = 0;
  Tokens unallocated_tokens = 0;
  Tokens billed_tokens = 0;
  Tokens allocated_tokens = 0;
  std::uint64_t total_bill_count = 0;
  Holders accounts;
  std::set<std::string, std::less<>> top_up_ids;
  std::set<std::string, std::less<>> transfer_ids;
  std::unordered_map<KeyDigest, RecordedBill, KeyDigestHash> bills;
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_TEAM_ACCOUNT_H_

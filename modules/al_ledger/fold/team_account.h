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

/** The tokens that one holder (an incarnation of a router) has of a team's
    budget, as recorded in the ledger.
 */
struct HolderBalance {
  Tokens tokens = 0;  ///< Allowance not billed yet; negative while a transfer
                      ///< to this holder is not recorded yet.
  Tokens received =
      0;  ///< Sum of grants and incoming transfers, minus returns.
  Tokens last_grant = 0;     ///< The amount of the grant with number `op_seq`.
  std::uint64_t op_seq = 0;  ///< Number of the latest valid grant or return.
  bool closed = false;  ///< Set when an expired holder's tokens are reclaimed;
                        ///< further grants are rejected.
  std::vector<IncarnationId>
      witnesses;  ///< Routers that store replicas of the holder's draw limit
                  ///< since `op_seq`.
};

/** The budget of one team: top-ups, allowances of routers, and bills.

    Part of the ledger's replay: applies one entry at a time and returns whether
    it is valid at its position. In every state, topped_up() == billed() +
    unallocated() + TotalAllowances(), and none of these is negative, so bills
    never exceed the top-ups.

    Holders transfer tokens to each other before the ledger records the
    transfer. The record may arrive late, out of order, or never, if all routers
    that had a copy have failed. A bill therefore only has to be covered by the
    sum of all allowances, and the balance of a single holder may be negative
    until the transfer to it is recorded.

    Thread safety: none; used on one thread.

    @see PartitionLedger, TeamClaims
*/
class TeamAccount {
 public:
  using Holders = std::map<IncarnationId, HolderBalance, std::less<>>;

  explicit TeamAccount(TeamId team) : team(std::move(team)) {}

  //============================================================================
  // Commands: each applies one entry and returns its verdict

  auto Apply(const wire::TopUp& entry) -> wire::Verdict;
  auto Apply(const wire::Grant& entry) -> wire::Verdict;
  auto Apply(const wire::Return& entry) -> wire::Verdict;
  auto Apply(const wire::Transfer& entry) -> wire::Verdict;

  /** @param oldest_ms  bills for requests issued before this are rejected, in
      Unix milliseconds. */
  auto Apply(const wire::Bill& entry, std::int64_t oldest_ms) -> wire::Verdict;

  /** Returns to the budget the tokens that an expired holder cannot have drawn,
      and closes its account. It keeps the tokens up to its draw limit, for
      bills that may still arrive. */
  auto Apply(const wire::Reclaim& entry) -> wire::Verdict;

  /** Removes bills of requests issued before `oldest_ms`, in Unix
      milliseconds. */
  auto PruneBills(std::int64_t oldest_ms) -> void;

  /** Replaces the state with that of a snapshot. */
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

  /** The sum of all holders' balances. */
  [[nodiscard]] auto TotalAllowances() const -> Tokens {
    return this->allocated_tokens;
  }

  /** The balance of `holder`, or an empty balance if it never held tokens. */
  [[nodiscard]] auto BalanceOf(const IncarnationId& holder) const
      -> HolderBalance;

  /** True if a bill for `key` is stored. */
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

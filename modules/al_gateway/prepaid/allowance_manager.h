#ifndef AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_
#define AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/prepaid/allowance_ledger.h"

namespace auburnloft::gateway {

/** How large allowances are. */
struct AllowanceSizing {
  /** Demand that an allowance covers: an outage of the log that is to be
     survived. */
  Duration outage_coverage = std::chrono::seconds(5);

  /** The part of what is left of a budget that is held in reserve at least:
     demand that is not yet known, or that moves. */
  double min_reserve_share = 0.2;
};

/** What a router knows of the fleet when it plans. */
struct FleetStatus {
  int routers = 1;          ///< Alive, this one included.
  int reserve_holders = 1;  ///< Routers that hold the reserve of a team.
  /** Whether this router is one of those of a team. */
  std::function<bool(std::string_view team)> holds_reserve;
  AllowanceLedger::IsActive is_active;
};

/** One router's allowances: what it may spend of each team's budget, and what
   it asks of the log.

    Each router holds a second of its own demand. The reserve that carries a
   team through an outage of the log is held by a few routers, whom the others
   ask: spread over a large fleet, no share of it would cover a request.

    A request reserves its most with TryReserve() before it is sent, and settles
   its use at its end. PlanEntries() gives the entries to write; when they are
   read back in the order of the log, OnRecorded() makes a valid raise
   spendable.

    Thread safety: none; used on one thread.
*/
class AllowanceManager {
 public:
  AllowanceManager(std::string holder, const AllowanceSizing& settings);

  AllowanceManager(const AllowanceManager&) = delete;
  auto operator=(const AllowanceManager&) -> AllowanceManager& = delete;

  //============================================================================
  // Commands

  /** What `team` bought, as configured. */
  auto SetBudget(std::string_view team, std::uint64_t prepaid_tokens) -> void;

  /** Reserves `tokens`. @return false where the allowance in hand is too small;
     the demand is noted in either case, once with `first_try`. */
  [[nodiscard]] auto TryReserve(std::string_view team,
                                std::uint64_t tokens,
                                bool first_try,
                                Instant now) -> bool;

  /** Ends a reservation of `reserved` tokens, of which `used` were spent. */
  auto Settle(std::string_view team, std::uint64_t reserved, std::uint64_t used)
      -> void;

  /** Tokens that requests wait for now; they are asked for on top. */
  auto SetWaitingTokens(std::string_view team, std::uint64_t tokens) -> void;

  /** The entries to write now. Lowers at once what it returns. Empty where
     nothing has changed, or while entries are unrecorded.
      @param reports  whether to write also what only tells of use. */
  [[nodiscard]] auto PlanEntries(const AllowanceLedger& ledger,
                                 const FleetStatus& fleet,
                                 bool reports,
                                 Instant now) -> std::vector<AllowanceEntry>;

  /** Entries that return everything unspent, for a shutdown. */
  [[nodiscard]] auto PlanReturnEntries() -> std::vector<AllowanceEntry>;

  /** An entry of this holder was read back.
      @param taken_by_all  the sum of all newest entries at its place. */
  auto OnRecorded(const AllowanceEntry& entry, std::uint64_t taken_by_all)
      -> void;

  /** Gives another router a part of what is available, up to `asked`. Counts as
     spent here for good, so that the log needs no entry of it.
      @return what was given. */
  [[nodiscard]] auto TransferOut(std::string_view team,
                                 std::uint64_t asked,
                                 Instant now) -> std::uint64_t;

  /** Takes what another router gave. It may be spent here beyond what this
     router's entries say. */
  auto ReceiveTransfer(std::string_view team, std::uint64_t tokens) -> void;

  /** The history was lost: entries under way count as invalid raises. */
  auto OnHistoryLost() -> void;

  //============================================================================
  // Queries

  /** True where no more than `tokens` of the budget may be left, as far as the
     log tells: a refusal for the budget is then true. */
  [[nodiscard]] auto IsBudgetExhausted(
      std::string_view team,
      std::uint64_t tokens,
      const AllowanceLedger& ledger,
      const AllowanceLedger::IsActive& is_active) const -> bool;

  /** What the team bought, as SetBudget() told. */
  [[nodiscard]] auto BudgetOf(std::string_view team) const -> std::uint64_t;

  /** Tokens that may still be reserved. */
  [[nodiscard]] auto Available(std::string_view team) const -> std::uint64_t;

  /** Tokens that requests wait for, and what demand is foreseen to need soon.
   */
  [[nodiscard]] auto Shortage(std::string_view team, Instant now) const
      -> std::uint64_t;

  /** True while entries that PlanEntries() gave were not read back. */
  [[nodiscard]] auto has_unrecorded_entries() const -> bool {
    return this->pending_entries > 0;
  }

 private:
  struct Account {
    std::uint64_t prepaid = 0;
    std::uint64_t spendable = 0;  ///< Covered by valid entries, in all.
    std::uint64_t received = 0;   ///< From other routers, on top.
    std::uint64_t written = 0;    ///< Of the newest entry.
    std::uint64_t settled = 0;
    std::uint64_t settled_written = 0;
    std::uint64_t reserved = 0;
    std::uint64_t waiting = 0;
    double demand = 0.0;  ///< Tokens a second, as of `demand_at`.
    Instant demand_at{};
    Instant demand_since{};  ///< Of the first request.
    double demand_written = 0.0;
    double mean_request = 0.0;  ///< Tokens of a request at its most.
    std::uint64_t pending_revision = 0;

    /** Spent or reserved of what the entries cover; what was received goes
       first. */
    [[nodiscard]] auto committed() const -> std::uint64_t {
      const std::uint64_t all = this->settled + this->reserved;
      return all - std::min(all, this->received);
    }
    /** Spent of what the entries cover. */
    [[nodiscard]] auto settled_of_entries() const -> std::uint64_t {
      return this->settled - std::min(this->settled, this->received);
    }
    [[nodiscard]] auto available() const -> std::uint64_t {
      const std::uint64_t all = this->spendable + this->received;
      return all - std::min(all, this->settled + this->reserved);
    }
  };

  /** Tokens that requests ask for, a second. */
  [[nodiscard]] static auto DemandOf(const Account& account, Instant now)
      -> double;
  /** Whether what the last entry tells of use and demand is outdated. */
  [[nodiscard]] static auto IsNews(const Account& account, Instant now) -> bool;

  /** The same where requests come often enough to hold tokens for them. */
  [[nodiscard]] static auto SteadyDemandOf(const Account& account, Instant now)
      -> double;
  [[nodiscard]] auto TargetOf(std::string_view team,
                              const Account& account,
                              const AllowanceLedger::Totals& totals,
                              const FleetStatus& fleet,
                              Instant now) const -> std::uint64_t;
  /** What the next entry says is taken; lowers `spendable` for a return. */
  auto TakenAfter(Account& account,
                  const AllowanceLedger::Totals& totals,
                  std::uint64_t target,
                  int sharers) -> std::uint64_t;
  auto EntryOf(const std::string& team,
               Account& account,
               std::uint64_t taken,
               Instant now) -> AllowanceEntry;

  std::string holder;
  AllowanceSizing settings;
  std::map<std::string, Account, std::less<>> accounts;
  std::uint64_t last_revision = 0;
  int pending_entries = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_

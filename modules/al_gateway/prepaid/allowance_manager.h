#ifndef AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_
#define AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/limits/rate_meter.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/holding_plan.h"

namespace auburnloft::gateway {

/** Which changes of the ledger PlanEntries() may plan. */
enum class EntryScope {
  kIncreases,  ///< Tokens that are needed now.
  kReturns,    ///< Also tokens that are no longer needed: they can wait for an
               ///< append that is due anyway.
  kReports,    ///< Also entries that only report use and demand.
};

/** Tokens of a team's budget. */
struct TeamTokens {
  std::string team;
  std::uint64_t tokens = 0;
};

/** The state of the fleet from which a router plans its ledger entries. */
struct FleetStatus {
  int routers = 1;          ///< Active routers, including this one.
  int reserve_holders = 1;  ///< Routers that hold a team's reserve.
  /** Returns whether this router holds a part of the team's reserve. */
  std::function<bool(std::string_view team)> holds_reserve;
  AllowanceLedger::IsActive is_active;
  /** False after a restore of the log until all active routers have written
     their entries again: no increase can be valid before. */
  bool may_increase = true;
};

/** The position of an entry of this router in the log. */
struct LogPosition {
  std::int64_t taken_by_all = 0;  ///< Sum of the newest entries of all holders.
  bool may_increase = true;       ///< As FleetStatus::may_increase.
  bool has_other_routers = false;
  Instant read_at{};
};

/** Manages one router's allowances: the part of each team's budget that this
   router may spend without another ledger entry.

    Each router with steady demand holds an allowance for some seconds of it
   (PlanHoldings()). In addition, a few routers hold the reserve that carries a
   team through an outage of the log service; the others request transfers from
   them, and hand what a request did not use back to them: with many routers,
   small remainders on each would add up to most of a small team's budget. If a
   large fleet shared the reserve evenly, no share would cover a request.

    A request reserves its maximum with TryReserve() before it is sent, and
   Settle() records its use when it ends. PlanEntries() returns the
   ledger entries to append. When they are read back in the order of the log,
   OnRecorded() checks them.

    A valid increase becomes spendable only when the other routers have
   confirmed it, or the log has replied to reads for long enough that they have
   read it. Otherwise a router could spend it and exit, and a restore of the log
   from an older copy would lose the only trace.

    Thread safety: none; used on one thread.
*/
class AllowanceManager {
 public:
  AllowanceManager(std::string holder, const AllowanceSizing& settings);

  AllowanceManager(const AllowanceManager&) = delete;
  auto operator=(const AllowanceManager&) -> AllowanceManager& = delete;

  //============================================================================
  // Commands

  /** Sets the tokens that `team` bought, from the configuration. */
  auto SetBudget(std::string_view team, std::uint64_t prepaid_tokens) -> void;

  /** Reserves `tokens` for a request.
      @param first_try  true on the first call for this request, which adds its
                        tokens to the measured demand.
      @return false if fewer tokens are available. */
  [[nodiscard]] auto TryReserve(std::string_view team,
                                std::uint64_t tokens,
                                bool first_try,
                                Instant now) -> bool;

  /** Ends a reservation of `reserved` tokens and counts `used` of them as
     spent.
      @pre used <= reserved, and that many tokens are reserved. */
  auto Settle(std::string_view team, std::uint64_t reserved, std::uint64_t used)
      -> void;

  /** Sets the tokens that queued requests need now. PlanEntries() adds
     them to what it takes from the budget. */
  auto SetWaitingTokens(std::string_view team, std::uint64_t tokens) -> void;

  /** Returns the entries to append now. If an entry returns tokens, they stop
     being spendable at once. Returns none if nothing has changed or while
     has_unrecorded_entries().
   */
  [[nodiscard]] auto PlanEntries(const AllowanceLedger& ledger,
                                 const FleetStatus& fleet,
                                 EntryScope scope,
                                 Instant now) -> std::vector<AllowanceEntry>;

  /** Returns an entry for each team of which this router may spend tokens, as
     the log was restored and may have an older one, or none. */
  [[nodiscard]] auto PlanRestoredEntries() -> std::vector<AllowanceEntry>;

  /** Returns the entries that give back all uncommitted tokens at shutdown.
     They stop being spendable at once. */
  [[nodiscard]] auto PlanReturnEntries() -> std::vector<AllowanceEntry>;

  /** Handles an entry of this holder that was read back from the log. A valid
     increase becomes spendable when the other routers know of it, too.
      @return whether it is a valid increase that is not spendable yet. */
  auto OnRecorded(const AllowanceEntry& entry, const LogPosition& position)
      -> bool;

  /** Records that all other routers have confirmed to know an entry of this
     holder, and those before it. */
  auto OnConfirmed(std::string_view team, std::uint64_t revision) -> void;

  /** Records that the log replied to a read at `now`: the increases that were
     recorded long enough before are known to the others, and become spendable.
   */
  auto RecordLogRead(Instant now) -> void;

  /** Transfers available tokens to another router. This router counts them as
     spent, so the transfer needs no ledger entry. It keeps enough for its own
     demand of the next second.
      @param requested  maximum to transfer.
      @param first_try  true unless the requester has asked another router for
                        the same tokens; adds them to the measured demand.
      @return the transferred tokens; may be 0. */
  [[nodiscard]] auto TransferOut(std::string_view team,
                                 std::uint64_t requested,
                                 bool first_try,
                                 Instant now) -> std::uint64_t;

  /** Adds the demand behind another router's request for tokens to the measured
     one. TransferOut() with `first_try` false follows.
      @param gets_ahead  whether the router also requests tokens for its future
                         requests, and holds them. */
  auto RecordRequestedDemand(std::string_view team,
                             std::uint64_t tokens,
                             bool gets_ahead,
                             Instant now) -> void;

  /** Returns the tokens of requests since the last call, which this router's
     entries do not report: the demand to tell with a request for a transfer. */
  [[nodiscard]] auto TakeUnreportedDemand(std::string_view team)
      -> std::uint64_t;

  /** Removes the tokens that this router needs neither for requests nor for
     its steady demand, to hand them to a reserve holder, and counts them as
     spent. Skips the teams whose reserve this router holds. */
  [[nodiscard]] auto TakeSurplus(
      const std::function<bool(std::string_view team)>& holds_reserve,
      Instant now) -> std::vector<TeamTokens>;

  /** Removes all uncommitted tokens, to hand them to other routers at shutdown,
     and counts them as spent. */
  [[nodiscard]] auto TakeUncommitted() -> std::vector<TeamTokens>;

  /** Adds tokens that another router transferred. They are spendable here in
     addition to what this router's entries cover. */
  auto ReceiveTransfer(std::string_view team, std::uint64_t tokens) -> void;

  /** Handles a loss of log records that were not read: entries that were not
     read back count as invalid increases. */
  auto OnHistoryLost() -> void;

  /** Handles that the log was restored from an older copy: increases that are
     not spendable yet never will be. PlanRestoredEntries() follows. */
  auto OnLogRestored() -> void;

  //============================================================================
  // Queries

  /** Returns whether, by the ledger, less than `tokens` of the team's budget
     will remain when the open requests have ended, so that a refusal for the
     budget is correct. True for a team without a budget. */
  [[nodiscard]] auto IsBudgetExhausted(
      std::string_view team,
      std::uint64_t tokens,
      const AllowanceLedger& ledger,
      const AllowanceLedger::IsActive& is_active) const -> bool;

  /** Returns the tokens set with SetBudget(); 0 for an unknown team. */
  [[nodiscard]] auto BudgetOf(std::string_view team) const -> std::uint64_t;

  /** Returns the tokens that can still be reserved. */
  [[nodiscard]] auto Available(std::string_view team) const -> std::uint64_t;

  /** Returns the net tokens up to which this router may spend: its valid
     entries must never be below. */
  [[nodiscard]] auto Covered(std::string_view team) const -> std::int64_t;

  /** Returns whether this router gets tokens of a team ahead by transfers: it
     has enough requests to use them, and too few to take them by entries. */
  [[nodiscard]] auto GetsAhead(std::string_view team, Instant now) const
      -> bool;

  /** Returns the tokens that are missing for the queued requests and, once less
     is left than the near future needs, for the demand of some seconds: a
     request for transfers then covers several requests. */
  [[nodiscard]] auto Shortage(std::string_view team, Instant now) const
      -> std::uint64_t;

  /** Returns whether the newest entry reports this router's demand, so that
     those who transfer tokens to it must not count it as theirs. */
  [[nodiscard]] auto ReportsDemand(std::string_view team) const -> bool;

  /** Returns whether planned entries were not read back from the log yet. */
  [[nodiscard]] auto has_unrecorded_entries() const -> bool {
    return this->pending_entries > 0;
  }

 private:
  /** Decay of the rate that shows a jump of the demand within a second. */
  static constexpr Duration kRecentDecay = std::chrono::seconds(1);

  /** Decay of the rate of requests that come once in some seconds. */
  static constexpr Duration kRareDecay = std::chrono::seconds(16);

  /** As in AllowanceEntry. */
  struct ReportedDemand {
    double all = 0.0;
    double steady = 0.0;
    double ahead = 0.0;
  };

  /** A valid increase that other routers may not have read. */
  struct UnwitnessedIncrease {
    std::int64_t taken = 0;  ///< The net total with it.
    std::uint64_t revision = 0;
    Instant recorded_at{};
  };

  struct Account {
    std::uint64_t prepaid = 0;
    std::int64_t granted = 0;    ///< Net total of valid entries.
    std::int64_t spendable = 0;  ///< The part that others know, too.
    std::vector<UnwitnessedIncrease> unwitnessed;  ///< In order.
    std::int64_t written = 0;    ///< Taken tokens of the newest entry.
    std::uint64_t settled = 0;   ///< Spent or transferred to others.
    std::uint64_t received = 0;  ///< Transferred from other routers.
    std::uint64_t reserved = 0;  ///< For requests that have not ended.
    std::uint64_t waiting = 0;   ///< Needed by queued requests.
    RateMeter own_demand;        ///< Of requests to this router.
    RateMeter recent_demand{kRecentDecay};  ///< The same, of the last second.
    RateMeter rare_demand{kRareDecay};  ///< The same, where requests are rare.
    std::uint64_t unreported_demand = 0;  ///< See TakeUnreportedDemand().
    RateMeter requested_demand;  ///< Of transfers that others requested.
    RateMeter ahead_demand;      ///< The part of routers that get tokens ahead.
    std::int64_t settled_written = 0;  ///< Settled tokens of the newest entry.
    double demand_written = 0.0;       ///< Demand in the newest entry.
    double steady_demand_written = 0.0;  ///< Steady demand in that entry.
    double ahead_demand_written = 0.0;   ///< Ahead demand in that entry.
    double own_seconds = 0.0;            ///< Of the last HoldingPlan.
    double ahead_seconds = 0.0;          ///< Of the last HoldingPlan.
    double mean_request_tokens =
        0.0;  ///< Running mean of the requests' maximum.
    std::uint64_t pending_revision = 0;  ///< 0: no unrecorded entry.

    /** Makes the increases spendable of which `is_known` holds; in order, up to
       the first one of which it does not. */
    auto Release(
        const std::function<bool(const UnwitnessedIncrease&)>& is_known)
        -> void;

    /** Lowers the net total, and what may be spent of it. */
    auto LowerTo(std::int64_t total) -> void;

    /** Returns the tokens that are spent, net of received ones. */
    [[nodiscard]] auto net_settled() const -> std::int64_t {
      return static_cast<std::int64_t>(this->settled) -
             static_cast<std::int64_t>(this->received);
    }
    /** Returns the tokens that are spent or reserved, net of received ones:
       the least that this holder's entries must cover. */
    [[nodiscard]] auto net_committed() const -> std::int64_t {
      return this->net_settled() + static_cast<std::int64_t>(this->reserved);
    }
    [[nodiscard]] auto available() const -> std::uint64_t {
      return static_cast<std::uint64_t>(this->spendable -
                                        this->net_committed());
    }
  };

  /** Returns the measured demand in tokens per second, of requests to this
     router and of transfers that others requested. */
  [[nodiscard]] static auto DemandOf(const Account& account, Instant now)
      -> double;
  /** Returns the demand that this router reports in its entries: a holder of
     the reserve that of the transfers, too. */
  [[nodiscard]] static auto ReportedDemandOf(const Account& account,
                                             bool holds_reserve,
                                             Instant now) -> ReportedDemand;
  /** Returns the demand of requests to this router for which it gets tokens
     ahead by transfers, else 0. */
  [[nodiscard]] static auto RareDemandOf(const Account& account, Instant now)
      -> double;
  /** Returns whether the use or demand in the newest entry is outdated. */
  [[nodiscard]] static auto IsReportOutdated(const Account& account,
                                             double demand) -> bool;

  /** Returns the demand of requests to this router if they arrive often enough
     to hold tokens for them, else 0. */
  [[nodiscard]] static auto SteadyDemandOf(const Account& account, Instant now)
      -> double;
  /** Returns the uncommitted tokens that this router should hold for a team,
     and keeps the plan's seconds in the account. */
  [[nodiscard]] auto TargetTokens(Account& account,
                                  const AllowanceLedger::Totals& totals,
                                  const FleetStatus& fleet,
                                  bool holds_reserve,
                                  Instant now) const -> std::uint64_t;
  /** Returns the taken tokens for the next entry. Lowers the account if tokens
     are to be returned. */
  static auto UpdateTakenTokens(Account& account,
                                const AllowanceLedger::Totals& totals,
                                std::uint64_t target,
                                int holders,
                                bool holds_reserve,
                                EntryScope scope) -> std::int64_t;
  /** Creates the next entry and marks it as unrecorded. */
  auto MakeEntry(const std::string& team,
                 Account& account,
                 std::int64_t taken,
                 const ReportedDemand& demand) -> AllowanceEntry;

  std::string holder;
  AllowanceSizing settings;
  std::map<std::string, Account, std::less<>> accounts;
  std::uint64_t last_revision = 0;
  int pending_entries = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_ALLOWANCE_MANAGER_H_

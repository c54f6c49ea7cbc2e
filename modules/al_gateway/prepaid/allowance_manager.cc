#include "al_gateway/prepaid/allowance_manager.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** In which time a demand loses all but 1/e of its weight in the rate: some
   bursts of callers long. */
constexpr double kDemandSeconds = 4.0;

/** The part of what may be left that routers divide by their demand. The rest
   stays on the log: all that is out is lost when all routers lose power. */
constexpr double kDividedPart = 0.6;

/** Own demand that a router keeps when it gives, and that it holds at least. */
constexpr double kWorkingSeconds = 1.0;

/** Demand that a router asks others to cover at once. */
constexpr double kAskedSeconds = 1.5;

/** Raises below this part of the target wait, so that the log gets fewer
   entries. */
constexpr double kWorthWriting = 0.1;

/** An allowance above this multiple of its target is returned. */
constexpr double kSurplus = 1.25;

/** A demand that fell below this part of what was last written is news. */
constexpr double kFallenDemand = 0.5;

/** Weight of the newest request in the mean size of requests. */
constexpr double kNewestWeight = 0.1;

/** Requests a second from which a router holds tokens for those to come. In a
   large fleet each router sees few requests of a team, and tokens held for them
   everywhere would add up to most of a budget. */
constexpr double kSteadyRequests = 2.0;

/** The shortest time over which a rate is measured, in seconds. */
constexpr double kLeastMeasuredSeconds = 2.0;

auto DecayedDemand(double demand, Instant since, Instant now) -> double {
  return demand * std::exp(-ToSeconds(now - since) / kDemandSeconds);
}

auto Minus(std::uint64_t from, std::uint64_t amount) -> std::uint64_t {
  return from - std::min(from, amount);
}

}  // namespace

AllowanceManager::AllowanceManager(std::string holder,
                                   const AllowanceSizing& settings)
    : holder(std::move(holder)), settings(settings) {}

//==============================================================================
// Commands

auto AllowanceManager::SetBudget(std::string_view team,
                                 std::uint64_t prepaid_tokens) -> void {
  this->accounts[std::string(team)].prepaid = prepaid_tokens;
}

auto AllowanceManager::TryReserve(std::string_view team,
                                  std::uint64_t tokens,
                                  bool first_try,
                                  Instant now) -> bool {
  Account& account = this->accounts[std::string(team)];
  if (first_try) {
    const auto size = static_cast<double>(tokens);
    account.mean_request += (account.mean_request > 0.0 ? kNewestWeight : 1.0) *
                            (size - account.mean_request);
    if (account.demand_since == Instant()) {
      account.demand_since = now;
    }
    account.demand = DecayedDemand(account.demand, account.demand_at, now) +
                     static_cast<double>(tokens) / kDemandSeconds;
    account.demand_at = now;
  }
  if (account.available() < tokens) {
    return false;
  }
  account.reserved += tokens;
  return true;
}

auto AllowanceManager::Settle(std::string_view team,
                              std::uint64_t reserved,
                              std::uint64_t used) -> void {
  Account& account = this->accounts[std::string(team)];
  assert(account.reserved >= reserved && used <= reserved);
  account.reserved -= reserved;
  account.settled += used;
}

auto AllowanceManager::SetWaitingTokens(std::string_view team,
                                        std::uint64_t tokens) -> void {
  this->accounts[std::string(team)].waiting = tokens;
}

auto AllowanceManager::PlanEntries(const AllowanceLedger& ledger,
                                   const FleetStatus& fleet,
                                   bool reports,
                                   Instant now) -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> entries;
  if (this->has_unrecorded_entries()) {
    return entries;
  }
  for (auto& [team, account] : this->accounts) {
    const AllowanceLedger::Totals totals =
        ledger.TotalsOf(team, fleet.is_active);
    const std::uint64_t target =
        this->TargetOf(team, account, totals, fleet, now);
    const std::uint64_t taken =
        this->TakenAfter(account, totals, target, fleet.reserve_holders);
    const bool withdraws = account.written > account.spendable;
    if (taken != account.written || withdraws ||
        (reports && IsNews(account, now))) {
      entries.push_back(this->EntryOf(team, account, taken, now));
    }
  }
  this->pending_entries = static_cast<int>(entries.size());
  return entries;
}

auto AllowanceManager::PlanReturnEntries() -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> entries;
  for (auto& [team, account] : this->accounts) {
    account.spendable = std::min(account.spendable, account.committed());
    if (account.written != account.spendable) {
      entries.push_back(
          this->EntryOf(team, account, account.spendable, account.demand_at));
    }
  }
  this->pending_entries = static_cast<int>(entries.size());
  return entries;
}

auto AllowanceManager::OnRecorded(const AllowanceEntry& entry,
                                  std::uint64_t taken_by_all) -> void {
  Account& account = this->accounts[entry.team];
  if (entry.revision != account.pending_revision) {
    return;  // An entry from before the history was lost.
  }
  account.pending_revision = 0;
  this->pending_entries = std::max(0, this->pending_entries - 1);
  if (entry.taken_tokens > account.spendable &&
      taken_by_all <= account.prepaid) {
    account.spendable = entry.taken_tokens;
  }
}

auto AllowanceManager::TransferOut(std::string_view team,
                                   std::uint64_t asked,
                                   Instant now) -> std::uint64_t {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return 0;
  }
  Account& account = found->second;
  const auto kept = static_cast<std::uint64_t>(kWorkingSeconds *
                                               SteadyDemandOf(account, now));
  const std::uint64_t given = std::min(asked, Minus(account.available(), kept));
  account.settled += given;
  return given;
}

auto AllowanceManager::ReceiveTransfer(std::string_view team,
                                       std::uint64_t tokens) -> void {
  this->accounts[std::string(team)].received += tokens;
}

auto AllowanceManager::OnHistoryLost() -> void {
  this->pending_entries = 0;
  for (auto& [team, account] : this->accounts) {
    account.pending_revision = 0;
  }
}

//==============================================================================
// Queries

auto AllowanceManager::IsBudgetExhausted(
    std::string_view team,
    std::uint64_t tokens,
    const AllowanceLedger& ledger,
    const AllowanceLedger::IsActive& is_active) const -> bool {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return true;
  }
  const AllowanceLedger::Totals totals = ledger.TotalsOf(team, is_active);
  return Minus(found->second.prepaid,
               totals.taken_by_expired + totals.settled_by_active) < tokens;
}

auto AllowanceManager::BudgetOf(std::string_view team) const -> std::uint64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end() ? 0 : found->second.prepaid;
}

auto AllowanceManager::Available(std::string_view team) const -> std::uint64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end() ? 0 : found->second.available();
}

auto AllowanceManager::Shortage(std::string_view team, Instant now) const
    -> std::uint64_t {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return 0;
  }
  const Account& account = found->second;
  const double soon = kAskedSeconds * SteadyDemandOf(account, now);
  return Minus(account.waiting + static_cast<std::uint64_t>(soon),
               account.available());
}

//==============================================================================

auto AllowanceManager::DemandOf(const Account& account, Instant now) -> double {
  if (account.demand_since == Instant()) {
    return 0.0;
  }
  // Right after the first request the decayed sum has not filled yet.
  const double measured =
      std::max(kLeastMeasuredSeconds, ToSeconds(now - account.demand_since));
  return DecayedDemand(account.demand, account.demand_at, now) /
         (1.0 - std::exp(-measured / kDemandSeconds));
}

auto AllowanceManager::IsNews(const Account& account, Instant now) -> bool {
  if (account.settled_of_entries() != account.settled_written) {
    return true;
  }
  // A demand that has ended is told once, or others would go on to cover it.
  return DemandOf(account, now) < account.demand_written * kFallenDemand &&
         account.demand_written > account.mean_request * kFallenDemand;
}

auto AllowanceManager::SteadyDemandOf(const Account& account, Instant now)
    -> double {
  const double demand = DemandOf(account, now);
  return demand >= kSteadyRequests * account.mean_request ? demand : 0.0;
}

auto AllowanceManager::TargetOf(std::string_view team,
                                const Account& account,
                                const AllowanceLedger::Totals& totals,
                                const FleetStatus& fleet,
                                Instant now) const -> std::uint64_t {
  const double demand = DemandOf(account, now);
  const auto left = static_cast<double>(Minus(
      account.prepaid, totals.taken_by_expired + totals.settled_by_active));
  const double working = std::min(
      SteadyDemandOf(account, now) * kWorkingSeconds, left * kDividedPart);
  if (!fleet.holds_reserve(team)) {
    return static_cast<std::uint64_t>(working);
  }
  const double all = std::max(totals.demand_of_active, demand);
  const double foreseen = std::min(
      all * ToSeconds(this->settings.outage_coverage), left * kDividedPart);
  const double reserve =
      std::max(foreseen, left * this->settings.min_reserve_share);
  return static_cast<std::uint64_t>(
      working + reserve / std::max(1, fleet.reserve_holders));
}

auto AllowanceManager::TakenAfter(Account& account,
                                  const AllowanceLedger::Totals& totals,
                                  std::uint64_t target,
                                  int sharers) -> std::uint64_t {
  const std::uint64_t wanted = account.committed() + account.waiting + target;
  // An invalid raise is in the totals, but never became spendable.
  const std::uint64_t invalid = Minus(account.written, account.spendable);
  const std::uint64_t pool =
      Minus(account.prepaid, Minus(totals.taken, invalid));
  const auto written_target = static_cast<double>(target);
  const std::uint64_t least_raise =
      account.waiting > 0
          ? 1
          : static_cast<std::uint64_t>(kWorthWriting * written_target) + 1;
  if (wanted >= account.spendable + least_raise) {
    // The pool may be wanted by all at once: nobody takes more than an even
    // share of what is left in one step, but for requests that wait.
    const std::uint64_t share =
        pool / static_cast<std::uint64_t>(std::max(1, sharers)) + 1;
    const std::uint64_t step = std::max(share, account.waiting);
    return account.spendable +
           std::min({wanted - account.spendable, pool, step});
  }
  const std::uint64_t surplus_at =
      account.committed() +
      static_cast<std::uint64_t>(kSurplus * written_target) + 1;
  if (account.spendable > surplus_at) {
    account.spendable = std::max(wanted, account.committed());
  }
  return account.spendable;
}

auto AllowanceManager::EntryOf(const std::string& team,
                               Account& account,
                               std::uint64_t taken,
                               Instant now) -> AllowanceEntry {
  AllowanceEntry entry;
  entry.team = team;
  entry.holder = this->holder;
  entry.taken_tokens = taken;
  entry.settled_tokens = account.settled_of_entries();
  entry.demand_per_second = DemandOf(account, now);
  entry.revision = ++this->last_revision;
  account.written = taken;
  account.settled_written = entry.settled_tokens;
  account.demand_written = entry.demand_per_second;
  account.pending_revision = entry.revision;
  return entry;
}

}  // namespace auburnloft::gateway

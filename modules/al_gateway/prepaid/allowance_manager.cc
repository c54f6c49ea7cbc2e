#include "al_gateway/prepaid/allowance_manager.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Maximum share of a team's remaining budget that one router holds for its own
   steady demand. */
constexpr double kMaxWorkingShare = 0.6;

/** The part of the reserved tokens that requests use, at least. Prompts are
   used as a whole; of the output, callers allow about twice what is generated.
 */
constexpr double kMinUsedShare = 0.9;

/** Seconds of its own steady demand that a router keeps when it transfers
   tokens to others, whose requests wait. */
constexpr double kWorkingSeconds = 1.0;

/** Seconds of steady demand below which the available tokens are a shortage. */
constexpr double kShortageSeconds = 1.5;

/** Seconds of steady demand that a router requests transfers for if it has a
   shortage, so that one request for transfers covers several requests. */
constexpr double kAskSeconds = 2.5;

/** A router whose requests are rare gets tokens ahead if they are enough for so
   many of its mean requests: what does not cover a request is of no use. */
constexpr double kMinAheadRequests = 2.0;

/** It requests more when less than this share of its tokens ahead is left. */
constexpr double kLeastAheadShare = 0.5;

/** Minimum seconds of steady demand that a router without a share of the
   reserve keeps when it hands its surplus to a reserve holder. Above
   kShortageSeconds, so that it does not request the same tokens again. */
constexpr double kMinSurplusSeconds = 2.5;

/** Minimum increase relative to the target; smaller ones wait, to append fewer
   entries to the log. Requests that wait override it. */
constexpr double kMinIncreaseRatio = 0.1;

/** If the uncommitted allowance exceeds this multiple of its target, the excess
   is returned. */
constexpr double kSurplusRatio = 1.25;

/** A demand below this fraction of the last reported one is reported again. The
   same fraction of a mean request is the minimum for such a report. */
constexpr double kDemandDropRatio = 0.5;

/** Weight of the newest request in the running mean of request sizes. */
constexpr double kMeanWeight = 0.1;

/** Minimum rate of requests of a team for which a router holds tokens in
   advance. In a large fleet each router gets few requests of a team, and tokens
   held for them on every router would add up to most of a budget. */
constexpr double kMinSteadyRequestsPerSecond = 2.0;

/** Time in which the other routers read an entry, if the log replies: the
   interval between their reads, and a reply. */
constexpr Duration kWitnessTime = std::chrono::milliseconds(500);

/** Subtracts, but not below 0. */
auto SaturatingSubtract(std::uint64_t from, std::uint64_t amount)
    -> std::uint64_t {
  return from - std::min(from, amount);
}

/** Returns what is left of a budget of `prepaid` tokens, at least 0. */
auto RemainingOf(std::uint64_t prepaid, std::int64_t used) -> std::int64_t {
  return std::max<std::int64_t>(0, static_cast<std::int64_t>(prepaid) - used);
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
    account.mean_request_tokens +=
        (account.mean_request_tokens > 0.0 ? kMeanWeight : 1.0) *
        (size - account.mean_request_tokens);
    account.own_demand.Add(tokens, now);
    account.recent_demand.Add(tokens, now);
    account.rare_demand.Add(tokens, now);
    account.unreported_demand += account.demand_written > 0.0 ? 0 : tokens;
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
                                   EntryScope scope,
                                   Instant now) -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> entries;
  if (this->has_unrecorded_entries()) {
    return entries;
  }
  for (auto& [team, account] : this->accounts) {
    const AllowanceLedger::Totals totals =
        ledger.TotalsOf(team, fleet.is_active);
    const bool holds_reserve = fleet.holds_reserve(team);
    const std::uint64_t target =
        this->TargetTokens(account, totals, fleet, holds_reserve, now);
    const std::int64_t taken =
        std::min(UpdateTakenTokens(account, totals, target,
                                   fleet.reserve_holders, holds_reserve, scope),
                 fleet.may_increase ? std::numeric_limits<std::int64_t>::max()
                                    : account.granted);
    const bool withdraws = account.written > account.granted;
    const bool is_short = RemainingOf(account.prepaid, totals.taken) <
                          static_cast<std::int64_t>(target);
    const bool may_report = scope == EntryScope::kReports ||
                            (scope == EntryScope::kReturns && is_short);
    const ReportedDemand demand = ReportedDemandOf(account, holds_reserve, now);
    if (taken != account.written || withdraws ||
        (may_report && IsReportOutdated(account, demand.all))) {
      entries.push_back(this->MakeEntry(team, account, taken, demand));
    }
  }
  this->pending_entries = static_cast<int>(entries.size());
  return entries;
}

auto AllowanceManager::PlanRestoredEntries() -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> entries;
  for (auto& [team, account] : this->accounts) {
    if (account.written != 0 || account.granted != 0) {
      entries.push_back(this->MakeEntry(
          team, account, account.granted,
          {account.demand_written, account.steady_demand_written,
           account.ahead_demand_written}));
    }
  }
  this->pending_entries = static_cast<int>(entries.size());
  return entries;
}

auto AllowanceManager::PlanReturnEntries() -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> entries;
  for (auto& [team, account] : this->accounts) {
    account.LowerTo(account.net_committed());
    if (account.written != account.granted) {
      entries.push_back(this->MakeEntry(team, account, account.granted, {}));
    }
  }
  this->pending_entries = static_cast<int>(entries.size());
  return entries;
}

auto AllowanceManager::OnRecorded(const AllowanceEntry& entry,
                                  const LogPosition& position) -> bool {
  Account& account = this->accounts[entry.team];
  if (entry.revision != account.pending_revision) {
    return false;  // Written before unread log records were lost.
  }
  account.pending_revision = 0;
  this->pending_entries = std::max(0, this->pending_entries - 1);
  const bool is_valid =
      position.may_increase &&
      position.taken_by_all <= static_cast<std::int64_t>(account.prepaid);
  if (entry.taken_tokens <= account.granted || !is_valid) {
    return false;
  }
  account.granted = entry.taken_tokens;
  if (!position.has_other_routers) {
    account.spendable = account.granted;
    return false;
  }
  account.unwitnessed.push_back(
      {account.granted, entry.revision, position.read_at});
  return true;
}

auto AllowanceManager::OnConfirmed(std::string_view team,
                                   std::uint64_t revision) -> void {
  const auto found = this->accounts.find(team);
  if (found != this->accounts.end()) {
    found->second.Release([revision](const UnwitnessedIncrease& increase) {
      return increase.revision <= revision;
    });
  }
}

auto AllowanceManager::RecordLogRead(Instant now) -> void {
  for (auto& [team, account] : this->accounts) {
    account.Release([now](const UnwitnessedIncrease& increase) {
      return now - increase.recorded_at >= kWitnessTime;
    });
  }
}

auto AllowanceManager::TransferOut(std::string_view team,
                                   std::uint64_t requested,
                                   bool first_try,
                                   Instant now) -> std::uint64_t {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return 0;
  }
  Account& account = found->second;
  if (first_try) {
    account.requested_demand.Add(requested, now);
  }
  const auto kept = static_cast<std::uint64_t>(kWorkingSeconds *
                                               SteadyDemandOf(account, now));
  const std::uint64_t transferred =
      std::min(requested, SaturatingSubtract(account.available(), kept));
  account.settled += transferred;
  return transferred;
}

auto AllowanceManager::RecordRequestedDemand(std::string_view team,
                                             std::uint64_t tokens,
                                             bool gets_ahead,
                                             Instant now) -> void {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return;
  }
  found->second.requested_demand.Add(tokens, now);
  if (gets_ahead) {
    found->second.ahead_demand.Add(tokens, now);
  }
}

auto AllowanceManager::TakeUnreportedDemand(std::string_view team)
    -> std::uint64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end()
             ? 0
             : std::exchange(found->second.unreported_demand, 0);
}

auto AllowanceManager::ReceiveTransfer(std::string_view team,
                                       std::uint64_t tokens) -> void {
  this->accounts[std::string(team)].received += tokens;
}

auto AllowanceManager::TakeSurplus(
    const std::function<bool(std::string_view team)>& holds_reserve,
    Instant now) -> std::vector<TeamTokens> {
  std::vector<TeamTokens> taken;
  for (auto& [team, account] : this->accounts) {
    const double kept_seconds =
        std::max(kMinSurplusSeconds, kSurplusRatio * account.own_seconds);
    const auto kept = static_cast<std::uint64_t>(
        kept_seconds * SteadyDemandOf(account, now) +
        kSurplusRatio * account.ahead_seconds * RareDemandOf(account, now));
    const std::uint64_t surplus =
        SaturatingSubtract(account.available(), kept + account.waiting);
    if (surplus > 0 && !holds_reserve(team)) {
      account.settled += surplus;
      taken.push_back({team, surplus});
    }
  }
  return taken;
}

auto AllowanceManager::TakeUncommitted() -> std::vector<TeamTokens> {
  std::vector<TeamTokens> taken;
  for (auto& [team, account] : this->accounts) {
    if (const std::uint64_t available = account.available(); available > 0) {
      account.settled += available;
      taken.push_back({team, available});
    }
  }
  return taken;
}

auto AllowanceManager::OnHistoryLost() -> void {
  this->pending_entries = 0;
  for (auto& [team, account] : this->accounts) {
    account.pending_revision = 0;
  }
}

auto AllowanceManager::OnLogRestored() -> void {
  this->OnHistoryLost();
  for (auto& [team, account] : this->accounts) {
    account.unwitnessed.clear();
    account.granted = account.spendable;
  }
}

auto AllowanceManager::Account::Release(
    const std::function<bool(const UnwitnessedIncrease&)>& is_known) -> void {
  const auto first_unknown = std::find_if_not(
      this->unwitnessed.begin(), this->unwitnessed.end(), is_known);
  std::for_each(this->unwitnessed.begin(), first_unknown,
                [this](const UnwitnessedIncrease& increase) {
                  this->spendable = std::max(this->spendable, increase.taken);
                });
  this->unwitnessed.erase(this->unwitnessed.begin(), first_unknown);
}

auto AllowanceManager::Account::LowerTo(std::int64_t total) -> void {
  this->granted = std::min(this->granted, total);
  this->spendable = std::min(this->spendable, total);
  for (UnwitnessedIncrease& increase : this->unwitnessed) {
    increase.taken = std::min(increase.taken, total);
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
  const auto used_by_open = static_cast<std::int64_t>(
      kMinUsedShare * static_cast<double>(totals.reserved_by_active));
  return RemainingOf(found->second.prepaid,
                     totals.taken_by_expired + totals.settled_by_active +
                         used_by_open) < static_cast<std::int64_t>(tokens);
}

auto AllowanceManager::BudgetOf(std::string_view team) const -> std::uint64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end() ? 0 : found->second.prepaid;
}

auto AllowanceManager::Available(std::string_view team) const -> std::uint64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end() ? 0 : found->second.available();
}

auto AllowanceManager::Covered(std::string_view team) const -> std::int64_t {
  const auto found = this->accounts.find(team);
  return found == this->accounts.end() ? 0 : found->second.spendable;
}

auto AllowanceManager::ReportsDemand(std::string_view team) const -> bool {
  const auto found = this->accounts.find(team);
  return found != this->accounts.end() && found->second.demand_written > 0.0;
}

auto AllowanceManager::Shortage(std::string_view team, Instant now) const
    -> std::uint64_t {
  const auto found = this->accounts.find(team);
  if (found == this->accounts.end()) {
    return 0;
  }
  const Account& account = found->second;
  const std::uint64_t available = account.available();
  double least = 0.0;
  double planned = 0.0;
  if (const double steady = SteadyDemandOf(account, now); steady > 0.0) {
    const double demand =
        std::max(steady, account.recent_demand.PerSecond(now));
    least = kShortageSeconds * demand;
    planned = kAskSeconds * demand;
  } else {
    planned = account.ahead_seconds * RareDemandOf(account, now);
    least = kLeastAheadShare * planned;
  }
  if (available >= account.waiting + static_cast<std::uint64_t>(least)) {
    return 0;
  }
  return account.waiting + static_cast<std::uint64_t>(planned) - available;
}

auto AllowanceManager::GetsAhead(std::string_view team, Instant now) const
    -> bool {
  const auto found = this->accounts.find(team);
  return found != this->accounts.end() &&
         SteadyDemandOf(found->second, now) <= 0.0 &&
         RareDemandOf(found->second, now) > 0.0;
}

//==============================================================================

auto AllowanceManager::DemandOf(const Account& account, Instant now) -> double {
  return account.own_demand.PerSecond(now) +
         account.requested_demand.PerSecond(now);
}

auto AllowanceManager::ReportedDemandOf(const Account& account,
                                        bool holds_reserve,
                                        Instant now) -> ReportedDemand {
  const double steady = SteadyDemandOf(account, now);
  // A router without a share of the reserve reports only the demand for which
  // it takes tokens: the holders measure the rest as requested transfers.
  return holds_reserve ? ReportedDemand{DemandOf(account, now), steady,
                                        account.ahead_demand.PerSecond(now)}
                       : ReportedDemand{steady, steady, 0.0};
}

auto AllowanceManager::IsReportOutdated(const Account& account, double demand)
    -> bool {
  if (account.written == 0 && account.granted == 0) {
    return false;  // This router spends only what the entries of others cover.
  }
  if (account.net_settled() != account.settled_written) {
    return true;
  }
  // Report the end of a demand once: otherwise the reserve would continue to
  // cover it.
  return demand < account.demand_written * kDemandDropRatio &&
         account.demand_written >
             account.mean_request_tokens * kDemandDropRatio;
}

auto AllowanceManager::SteadyDemandOf(const Account& account, Instant now)
    -> double {
  const double demand = account.own_demand.PerSecond(now);
  return demand >= kMinSteadyRequestsPerSecond * account.mean_request_tokens
             ? demand
             : 0.0;
}

auto AllowanceManager::RareDemandOf(const Account& account, Instant now)
    -> double {
  if (SteadyDemandOf(account, now) > 0.0) {
    return 0.0;
  }
  const double demand = account.rare_demand.PerSecond(now);
  return demand * account.ahead_seconds >=
                 kMinAheadRequests * account.mean_request_tokens
             ? demand
             : 0.0;
}

auto AllowanceManager::TargetTokens(Account& account,
                                    const AllowanceLedger::Totals& totals,
                                    const FleetStatus& fleet,
                                    bool holds_reserve,
                                    Instant now) const -> std::uint64_t {
  const double steady = SteadyDemandOf(account, now);
  TeamDemand demand;
  demand.remaining_tokens = static_cast<double>(RemainingOf(
      account.prepaid, totals.taken_by_expired + totals.settled_by_active));
  demand.all = std::max(totals.demand_of_active, DemandOf(account, now));
  // Its own part as it is now: the ledger has that of its last entry.
  demand.steady = std::max(0.0, totals.steady_demand_of_active -
                                    account.steady_demand_written) +
                  steady;
  demand.ahead = std::max(totals.ahead_demand_of_active,
                          account.ahead_demand.PerSecond(now));
  const HoldingPlan plan = PlanHoldings(this->settings, demand);
  account.own_seconds = plan.own_seconds;
  account.ahead_seconds = plan.ahead_seconds;
  const double working = std::min(steady * plan.own_seconds,
                                  demand.remaining_tokens * kMaxWorkingShare);
  const double reserve =
      holds_reserve ? plan.reserve_tokens / std::max(1, fleet.reserve_holders)
                    : 0.0;
  return static_cast<std::uint64_t>(working + reserve);
}

auto AllowanceManager::UpdateTakenTokens(Account& account,
                                         const AllowanceLedger::Totals& totals,
                                         std::uint64_t target,
                                         int holders,
                                         bool holds_reserve,
                                         EntryScope scope) -> std::int64_t {
  const auto waiting = static_cast<std::int64_t>(account.waiting);
  const std::int64_t wanted =
      account.net_committed() + waiting + static_cast<std::int64_t>(target);
  // An invalid increase is included in the ledger's total but never became
  // spendable.
  const std::int64_t invalid =
      std::max<std::int64_t>(0, account.written - account.granted);
  const std::int64_t unallocated =
      RemainingOf(account.prepaid, totals.taken - invalid);
  const auto target_tokens = static_cast<double>(target);
  const std::int64_t min_increase =
      waiting > 0
          ? 1
          : static_cast<std::int64_t>(kMinIncreaseRatio * target_tokens) + 1;
  if (wanted >= account.granted + min_increase) {
    // All holders may increase at once. Limit one step to an even share of the
    // unallocated tokens, or to the queued requests if they need more.
    const std::int64_t share = unallocated / std::max(1, holders) + 1;
    const std::int64_t step = std::max(share, waiting);
    return account.granted +
           std::min({wanted - account.granted, unallocated, step});
  }
  const std::int64_t surplus_at =
      account.net_committed() + waiting +
      static_cast<std::int64_t>(kSurplusRatio * target_tokens) + 1;
  if (scope != EntryScope::kIncreases && account.granted > surplus_at) {
    // Without a share of the reserve, this router hands received tokens to a
    // reserve holder, which needs no entry of this router in the log.
    const std::int64_t lowest =
        holds_reserve ? wanted : std::min<std::int64_t>(0, account.granted);
    account.LowerTo(std::max(wanted, lowest));
  }
  return account.granted;
}

auto AllowanceManager::MakeEntry(const std::string& team,
                                 Account& account,
                                 std::int64_t taken,
                                 const ReportedDemand& demand)
    -> AllowanceEntry {
  AllowanceEntry entry;
  entry.team = team;
  entry.holder = this->holder;
  entry.taken_tokens = taken;
  entry.settled_tokens = account.net_settled();
  entry.demand_per_second = demand.all;
  entry.steady_demand_per_second = demand.steady;
  entry.ahead_demand_per_second = demand.ahead;
  entry.reserved_tokens =
      static_cast<std::int64_t>(account.reserved + account.waiting);
  entry.revision = ++this->last_revision;
  account.written = taken;
  account.settled_written = entry.settled_tokens;
  account.demand_written = demand.all;
  account.steady_demand_written = demand.steady;
  account.ahead_demand_written = demand.ahead;
  account.pending_revision = entry.revision;
  return entry;
}

}  // namespace auburnloft::gateway

#include "al_gateway/prepaid/allowance_ledger.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

auto AllowanceLedger::Apply(const AllowanceEntry& entry) -> void {
  HolderEntry& known = this->teams[entry.team].by_holder[entry.holder];
  known.logged_revision = std::max(known.logged_revision, entry.revision);
  known.is_logged = true;
  this->Learn(entry);
}

auto AllowanceLedger::Learn(const AllowanceEntry& entry) -> void {
  TeamEntries& entries = this->teams[entry.team];
  HolderEntry& known = entries.by_holder[entry.holder];
  if (entry.revision < known.newest.revision) {
    return;
  }
  entries.taken =
      entries.taken - known.newest.taken_tokens + entry.taken_tokens;
  known.newest = entry;
}

auto AllowanceLedger::BeginEra() -> void {
  for (auto& [team, entries] : this->teams) {
    for (auto& [holder, entry] : entries.by_holder) {
      entry.logged_revision = 0;
      entry.is_logged = false;
    }
  }
}

auto AllowanceLedger::MissingEntries(const IsActive& writes_for) const
    -> std::vector<AllowanceEntry> {
  std::vector<AllowanceEntry> missing;
  for (const auto& [team, entries] : this->teams) {
    for (const auto& [holder, entry] : entries.by_holder) {
      const bool is_missing =
          !entry.is_logged || entry.logged_revision < entry.newest.revision;
      if (is_missing && writes_for(holder)) {
        missing.push_back(entry.newest);
      }
    }
  }
  return missing;
}

auto AllowanceLedger::Taken(std::string_view team) const -> std::int64_t {
  const auto found = this->teams.find(std::string(team));
  return found == this->teams.end() ? 0 : found->second.taken;
}

auto AllowanceLedger::DemandOver(Duration span, const IsActive& is_active) const
    -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> demand;
  for (const auto& [team, entries] : this->teams) {
    const double per_second = this->TotalsOf(team, is_active).demand_of_active;
    demand[team] = static_cast<std::uint64_t>(per_second * ToSeconds(span));
  }
  return demand;
}

auto AllowanceLedger::TotalsOf(std::string_view team,
                               const IsActive& is_active) const -> Totals {
  Totals totals;
  const auto found = this->teams.find(std::string(team));
  if (found == this->teams.end()) {
    return totals;
  }
  totals.taken = found->second.taken;
  for (const auto& [holder, entry] : found->second.by_holder) {
    const AllowanceEntry& newest = entry.newest;
    if (is_active(holder)) {
      totals.settled_by_active += newest.settled_tokens;
      totals.reserved_by_active += newest.reserved_tokens;
      totals.demand_of_active += newest.demand_per_second;
      totals.steady_demand_of_active += newest.steady_demand_per_second;
      totals.ahead_demand_of_active += newest.ahead_demand_per_second;
    } else {
      totals.taken_by_expired += newest.taken_tokens;
      totals.settled_by_expired += newest.settled_tokens;
    }
  }
  return totals;
}

auto AllowanceLedger::VisitTeam(
    std::string_view team,
    const std::function<void(const AllowanceEntry&)>& visit) const -> void {
  const auto found = this->teams.find(std::string(team));
  if (found == this->teams.end()) {
    return;
  }
  for (const auto& [holder, entry] : found->second.by_holder) {
    visit(entry.newest);
  }
}

auto AllowanceLedger::VisitAll(
    const std::function<void(const AllowanceEntry&)>& visit) const -> void {
  for (const auto& [team, entries] : this->teams) {
    for (const auto& [holder, entry] : entries.by_holder) {
      visit(entry.newest);
    }
  }
}

}  // namespace auburnloft::gateway

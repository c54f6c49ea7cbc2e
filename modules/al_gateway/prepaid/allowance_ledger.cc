#include "al_gateway/prepaid/allowance_ledger.h"

#include <utility>

namespace auburnloft::gateway {

auto AllowanceLedger::Apply(AllowanceEntry entry) -> void {
  TeamEntries& entries = this->teams[entry.team];
  AllowanceEntry& known = entries.by_holder[entry.holder];
  entries.taken = entries.taken - known.taken_tokens + entry.taken_tokens;
  known = std::move(entry);
}

auto AllowanceLedger::Taken(std::string_view team) const -> std::int64_t {
  const auto found = this->teams.find(std::string(team));
  return found == this->teams.end() ? 0 : found->second.taken;
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
    if (is_active(holder)) {
      totals.settled_by_active += entry.settled_tokens;
      totals.reserved_by_active += entry.reserved_tokens;
      totals.demand_of_active += entry.demand_per_second;
    } else {
      totals.taken_by_expired += entry.taken_tokens;
      totals.settled_by_expired += entry.settled_tokens;
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
    visit(entry);
  }
}

auto AllowanceLedger::VisitAll(
    const std::function<void(const AllowanceEntry&)>& visit) const -> void {
  for (const auto& [team, entries] : this->teams) {
    for (const auto& [holder, entry] : entries.by_holder) {
      visit(entry);
    }
  }
}

}  // namespace auburnloft::gateway

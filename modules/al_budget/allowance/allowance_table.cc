#include "al_budget/allowance/allowance_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace auburnloft {

namespace {

/** The time constant of the moving average of spending: long compared with one
    request, short compared with the hours in which load shifts between failure
    domains. */
constexpr Duration kRateWindow = std::chrono::seconds(60);

auto Decayed(const TeamAllowance& allowance, Instant now) -> double {
  const double age = ToSeconds(now - allowance.rate_updated);
  return allowance.tokens_per_second *
         std::exp(-std::max(0.0, age) / ToSeconds(kRateWindow));
}

}  // namespace

auto AllowanceTable::Receive(const TeamId& team, Tokens tokens) -> void {
  assert(tokens >= 0);
  TeamAllowance& allowance = this->all_teams[team];
  allowance.free += tokens;
  allowance.received += tokens;
}

auto AllowanceTable::Restore(const TeamId& team, Tokens tokens) -> void {
  assert(tokens >= 0);
  this->all_teams[team].free += tokens;
}

auto AllowanceTable::TryReserve(const TeamId& team, Tokens tokens) -> bool {
  TeamAllowance& allowance = this->all_teams[team];
  allowance.max_reservation = std::max(allowance.max_reservation, tokens);
  if (allowance.SpendableTokens() < tokens) {
    return false;
  }
  allowance.free -= tokens;
  allowance.reserved += tokens;
  return true;
}

auto AllowanceTable::Settle(Instant now,
                            const TeamId& team,
                            Tokens reserved,
                            Tokens spent) -> void {
  assert(0 <= spent && spent <= reserved);
  TeamAllowance& allowance = this->all_teams[team];
  allowance.reserved -= reserved;
  allowance.free += reserved - spent;
  allowance.tokens_per_second =
      Decayed(allowance, now) +
      static_cast<double>(spent) / ToSeconds(kRateWindow);
  allowance.rate_updated = now;
}

auto AllowanceTable::TryDebit(const TeamId& team, Tokens tokens) -> bool {
  const auto found = this->all_teams.find(team);
  if (found == this->all_teams.end() ||
      found->second.SpendableTokens() < tokens) {
    return false;
  }
  found->second.free -= tokens;
  return true;
}

auto AllowanceTable::TryReturn(const TeamId& team, Tokens tokens) -> bool {
  const auto found = this->all_teams.find(team);
  if (found == this->all_teams.end() || found->second.free < tokens) {
    return false;
  }
  found->second.free -= tokens;
  found->second.received -= tokens;
  return true;
}

auto AllowanceTable::SetDrawLimit(const TeamId& team, Tokens limit) -> void {
  this->all_teams[team].draw_limit = limit;
}

auto AllowanceTable::AllowanceOf(const TeamId& team) const -> TeamAllowance {
  const auto found = this->all_teams.find(team);
  return found == this->all_teams.end() ? TeamAllowance{} : found->second;
}

auto AllowanceTable::RateOf(Instant now, const TeamId& team) const -> double {
  return Decayed(this->AllowanceOf(team), now);
}

}  // namespace auburnloft

#include "al_gateway/admission/team_shares.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburnloft::gateway {

namespace {

/** Depth of a bucket, as the time in which its share fills it: a team may begin
   the requests of one second at once (docs/design/README.md, part 4). */
constexpr double kBurstSeconds = 1.0;

/** A bucket owes at most the share of this time, so that a single large request
   does not keep its team away for long. */
constexpr double kMaxDebtSeconds = 2.0;

/** A team that asks for more than this multiple of its share, and of what the
   mean team asks for, gives way before less urgent requests of others do. */
constexpr double kFarOver = 2.0;

/** Fewer recent requests than this do not show that a team asks for a multiple
   of its share. */
constexpr double kMinRequests = 3.0;

/** Shares change with the demand of seconds; the sort over all teams costs
   microseconds. */
constexpr Duration kRecomputeInterval = std::chrono::milliseconds(100);

/** Teams are forgotten after so long without a request. */
constexpr Duration kForgetAfter = std::chrono::seconds(15);

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

auto TeamShares::RecordDemand(std::string_view team,
                              double cost,
                              double weight,
                              Instant now) -> void {
  Team& entry = this->teams[std::string(team)];
  entry.demand.Add(cost, now);
  entry.requests.Add(1.0, now);
  entry.weight = weight;
  entry.last_seen_at = now;
}

auto TeamShares::RecordBegun(std::string_view team, double cost, Instant now)
    -> void {
  this->begun.Add(cost, now);
  const auto found = this->teams.find(team);
  if (found != this->teams.end()) {
    this->RefillBucket(found->second, now);
    found->second.spent += cost;
  }
}

auto TeamShares::Refill() -> void {
  for (auto& [name, team] : this->teams) {
    team.spent = 0.0;
  }
}

auto TeamShares::ShareOf(std::string_view team, double useful, Instant now)
    -> Share {
  this->Recompute(useful, now);
  const auto found = this->teams.find(team);
  if (!this->is_scarce || found == this->teams.end()) {
    return {};
  }
  Team& entry = found->second;
  this->RefillBucket(entry, now);
  Share share;
  share.per_second = this->share_per_weight * entry.weight;
  const double depth = share.per_second * kBurstSeconds;
  // A bucket that is not empty covers a whole request, of whatever size: shares
  // of small routers are less than one large request a second.
  share.is_within = entry.spent < depth || entry.spent <= 0.0;
  share.is_far_over =
      entry.requests.At(now) >= kMinRequests &&
      entry.demand.At(now) / ToSeconds(kWindow) >
          kFarOver * entry.weight *
              std::max(this->share_per_weight, this->mean_per_weight);
  if (!share.is_within && share.per_second > 0.0) {
    share.until_within = Duration(static_cast<std::int64_t>(
        (entry.spent - depth) / share.per_second * kMicrosPerSecond));
  }
  return share;
}

auto TeamShares::Recompute(double useful, Instant now) -> void {
  if (this->computed_at != Instant() &&
      now - this->computed_at < kRecomputeInterval) {
    return;
  }
  this->computed_at = now;
  std::erase_if(this->teams, [now](const auto& item) {
    return now - item.second.last_seen_at > kForgetAfter;
  });
  const double seconds = ToSeconds(kWindow);
  double capacity_left = this->begun.At(now) / seconds * useful;
  double weight_left = 0.0;
  double total = 0.0;
  std::vector<std::pair<double, double>> demands;  // Per weight, and weight.
  for (const auto& [name, team] : this->teams) {
    demands.emplace_back(team.demand.At(now) / seconds / team.weight,
                         team.weight);
    weight_left += team.weight;
    total += team.demand.At(now) / seconds;
  }
  std::sort(demands.begin(), demands.end());
  this->mean_per_weight = weight_left > 0.0 ? total / weight_left : 0.0;
  this->is_scarce = false;
  for (const auto& [per_weight, weight] : demands) {
    if (per_weight * weight_left > capacity_left) {
      this->is_scarce = true;
      this->share_per_weight = std::max(0.0, capacity_left / weight_left);
      return;
    }
    capacity_left -= per_weight * weight;
    weight_left -= weight;
  }
}

auto TeamShares::RefillBucket(Team& team, Instant now) const -> void {
  const double per_second = this->share_per_weight * team.weight;
  const double passed =
      team.refilled_at == Instant() ? 0.0 : ToSeconds(now - team.refilled_at);
  team.refilled_at = now;
  team.spent = std::max(0.0, team.spent - per_second * passed);
  if (per_second > 0.0) {
    team.spent =
        std::min(team.spent, per_second * (kBurstSeconds + kMaxDebtSeconds));
  }
}

}  // namespace auburnloft::gateway

#include "al_gateway/admission/minimum_shares.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

/** A kind or a team is begun at least this often, relative to all requests. The
   requirement is a quarter (docs/design/README.md, part 4); the rest is margin
   for what is begun and then fails. */
constexpr double kLeastOfAll = 0.3;

/** The largest tenth of a kind, relative to the kind. The requirement is a
   half. */
constexpr double kLeastOfKind = 0.6;

/** A team claims at most this multiple of the mean team's requests: a team
   whose callers repeat without end does not raise its own minimum with that. */
constexpr double kMaxClaim = 8.0;

/** Relative step of the quantile estimate for a size below it. A step up is
   nine times as large, so that the two balance at the 0.9 quantile. */
constexpr double kQuantileStep = 0.01;
constexpr double kStepUp = 9.0;

/** Classes are forgotten after so long without a request. */
constexpr Duration kForgetAfter = std::chrono::seconds(40);

/** Looking through all teams costs microseconds. */
constexpr Duration kExpireInterval = std::chrono::seconds(1);

template <typename Map>
auto RemoveOld(Map& map, Instant now, const auto& last_seen_at) -> void {
  std::erase_if(map, [&](const auto& item) {
    return now - last_seen_at(item.second) > kForgetAfter;
  });
}

}  // namespace

auto MinimumShares::RecordSeen(const Classes& request, Instant now) -> void {
  const auto record = [now](Counts& counts) {
    counts.seen.Add(1.0, now);
    counts.last_seen_at = now;
  };
  record(this->total);
  record(this->teams[std::string(request.team)]);
  Kind& kind = this->kinds[std::string(request.kind)];
  record(kind.all);
  if (this->IsLarge(request)) {
    record(kind.large);
  }
  const auto size = static_cast<double>(request.size);
  if (kind.large_from <= 0.0) {
    kind.large_from = size;
  } else {
    kind.large_from *= size > kind.large_from ? 1.0 + kStepUp * kQuantileStep
                                              : 1.0 - kQuantileStep;
  }
}

auto MinimumShares::RecordBegun(const Classes& request, Instant now) -> void {
  this->total.begun.Add(1.0, now);
  this->teams[std::string(request.team)].begun.Add(1.0, now);
  Kind& kind = this->kinds[std::string(request.kind)];
  kind.all.begun.Add(1.0, now);
  if (this->IsLarge(request)) {
    kind.large.begun.Add(1.0, now);
  }
}

auto MinimumShares::Expire(Instant now) -> void {
  if (now - this->expired_at < kExpireInterval) {
    return;
  }
  this->expired_at = now;
  RemoveOld(this->teams, now,
            [](const Counts& counts) { return counts.last_seen_at; });
  RemoveOld(this->kinds, now,
            [](const Kind& kind) { return kind.all.last_seen_at; });
}

auto MinimumShares::IsStarved(const Classes& request, Instant now) const
    -> bool {
  const auto team = this->teams.find(request.team);
  if (team != this->teams.end()) {
    const double mean =
        this->total.seen.At(now) /
        static_cast<double>(std::max<std::size_t>(1, this->teams.size()));
    Counts claim = team->second;
    const double excess = claim.seen.At(now) - kMaxClaim * mean;
    if (excess > 0.0) {
      claim.seen.Add(-excess, now);
    }
    if (IsBehind(claim, this->total, kLeastOfAll, now)) {
      return true;
    }
  }
  const auto kind = this->kinds.find(request.kind);
  if (kind == this->kinds.end()) {
    return false;
  }
  return IsBehind(kind->second.all, this->total, kLeastOfAll, now) ||
         (this->IsLarge(request) &&
          IsBehind(kind->second.large, kind->second.all, kLeastOfKind, now));
}

auto MinimumShares::IsLarge(const Classes& request) const -> bool {
  const auto kind = this->kinds.find(request.kind);
  return kind != this->kinds.end() && kind->second.large_from > 0.0 &&
         static_cast<double>(request.size) > kind->second.large_from;
}

auto MinimumShares::IsBehind(const Counts& counts,
                             const Counts& reference,
                             double least,
                             Instant now) -> bool {
  const double seen = reference.seen.At(now);
  if (seen <= 0.0) {
    return false;
  }
  const double owed =
      least * reference.begun.At(now) / seen * counts.seen.At(now);
  return counts.begun.At(now) + 1.0 <= owed;
}

}  // namespace auburnloft::gateway

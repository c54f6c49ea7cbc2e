#include "al_gateway/upstreams/upstream_limits.h"

#include <algorithm>
#include <utility>

#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

namespace {

/** Part of the limit that the senders use together. With the share of routers
   that are cut off, it stays within one and a half times the limit. */
constexpr double kUsedFraction = 0.8;
constexpr double kUnreachableLogFraction = 0.5;

/** Least share of a sender. A lower one would leave its requests too far
   apart to use it. */
constexpr double kMinSharePerSecond = 2.0;

/** A single sender might have no requests for the upstream. */
constexpr int kMinSenders = 2;

/** Rate at which upstreams that want almost nothing, or nothing, are asked:
   only a response tells when the limit ends. */
constexpr double kMinPerSecond = 0.5;

/** Limits above this do not restrict any fleet. */
constexpr double kMaxPerSecond = 1'000.0;

/** A new sender waits for this time, in which the former ones read that the
   fleet's members have changed. */
constexpr Duration kHandOverDelay = std::chrono::milliseconds(1'500);

/** Longest time after which a caller is asked to return to a router that does
   not send to the upstream. */
constexpr Duration kMaxRetryInterval = std::chrono::seconds(10);

/** Interval at which a limit in force is reported again, for routers that have
   started since. */
constexpr Duration kRenewInterval = std::chrono::seconds(10);

/** Limits are dropped this long after they ended, or were last heard of. Until
   then, an older report does not revive them. */
constexpr Duration kEndedLifetime = std::chrono::seconds(60);
constexpr Duration kMaxLifetime = std::chrono::minutes(10);

/** Maximum limits in a report. */
constexpr std::size_t kMaxReported = 256;

auto IntervalOf(double per_second) -> Duration {
  constexpr double kMicrosPerSecond = 1e6;
  return Duration(static_cast<std::int64_t>(kMicrosPerSecond / per_second));
}

/** Returns among how many routers the limit is shared. */
auto CountSenders(double limit, int routers) -> int {
  const int senders =
      std::max(kMinSenders,
               static_cast<int>(kUsedFraction * limit / kMinSharePerSecond));
  return std::min(senders, std::max(1, routers));
}

}  // namespace

UpstreamLimits::UpstreamLimits(std::string self, UpstreamDirectory& directory)
    : self(std::move(self)), directory(directory) {}

//==============================================================================
// Commands

auto UpstreamLimits::Record(const UpstreamProcess& upstream,
                            std::optional<double> limit,
                            Instant sent_at,
                            Instant now) -> Change {
  if (limit && *limit > kMaxPerSecond) {
    limit.reset();
  }
  const auto before = this->LimitOf(upstream);
  if (!limit && (!before || sent_at <= this->limits[upstream].heard_at)) {
    return Change::kNone;
  }
  Limit& known = this->limits[upstream];
  known.per_second = limit;
  known.heard_at = now;
  known.is_first_hand = true;
  if (limit == before) {
    return Change::kNone;
  }
  this->ApplyShare(upstream, now + kHandOverDelay, now);
  if (!before) {
    return Change::kNamed;
  }
  return limit ? Change::kChanged : Change::kEnded;
}

auto UpstreamLimits::SetTemporary(const UpstreamProcess& upstream,
                                  double per_second,
                                  Instant ends_at,
                                  Instant now) -> void {
  if (per_second <= 0.0 || per_second > kMaxPerSecond || ends_at <= now) {
    if (this->temporaries.erase(upstream) > 0) {
      this->ApplyShare(upstream, now + kHandOverDelay, now);
    }
    return;
  }
  const auto [found, is_new] =
      this->temporaries.try_emplace(upstream, Temporary());
  found->second = {per_second, ends_at};
  // A router that has just started does not know the members yet.
  const Instant not_before =
      this->members_known_at ? *this->members_known_at + kHandOverDelay : now;
  this->ApplyShare(
      upstream, is_new ? std::max(now, not_before) : now + kHandOverDelay, now);
}

auto UpstreamLimits::Apply(const UpstreamLimitReport& report, Instant now)
    -> std::vector<UpstreamLimitReport::Limit> {
  std::vector<UpstreamLimitReport::Limit> changed;
  if (report.reporter == this->self) {
    return changed;
  }
  for (const UpstreamLimitReport::Limit& told : report.limits) {
    if (now - told.heard_at >= kEndedLifetime) {
      continue;
    }
    const auto before = this->LimitOf(told.upstream);
    Limit& known = this->limits[told.upstream];
    known.shared_per_second = told.per_second;
    known.shared_at = now;
    if (told.heard_at <= known.heard_at) {
      continue;
    }
    known.per_second = told.per_second;
    known.heard_at = told.heard_at;
    known.is_first_hand = false;
    if (known.per_second != before) {
      this->ApplyShare(told.upstream, now + kHandOverDelay, now);
      changed.push_back(told);
    }
  }
  return changed;
}

auto UpstreamLimits::Update(const Fleet& fleet, Instant now) -> void {
  this->fleet = fleet;
  this->members_known_at = this->members_known_at.value_or(now);
  std::erase_if(this->limits, [this, now](const auto& item) {
    const Duration age = now - item.second.heard_at;
    const bool is_outdated =
        item.second.per_second
            ? age >= kMaxLifetime && !this->directory.Contains(item.first)
            : age >= kEndedLifetime;
    return is_outdated;
  });
  std::vector<UpstreamProcess> limited;
  for (const auto& [upstream, limit] : this->limits) {
    limited.push_back(upstream);
  }
  for (const auto& [upstream, limit] : this->temporaries) {
    limited.push_back(upstream);
  }
  std::erase_if(this->temporaries,
                [now](const auto& item) { return now >= item.second.ends_at; });
  for (const UpstreamProcess& upstream : limited) {
    this->ApplyShare(upstream, now + kHandOverDelay, now);
  }
}

auto UpstreamLimits::ReportAgain() -> void {
  for (auto& [upstream, limit] : this->limits) {
    limit.shared_per_second.reset();
  }
}

auto UpstreamLimits::TakeReport(Instant now)
    -> std::optional<UpstreamLimitReport> {
  const bool is_due = std::any_of(
      this->limits.begin(), this->limits.end(),
      [now](const auto& item) { return IsReportDue(item.second, now); });
  if (!is_due) {
    return std::nullopt;
  }
  UpstreamLimitReport report;
  report.reporter = this->self;
  for (auto& [upstream, limit] : this->limits) {
    if (limit.is_first_hand && now - limit.heard_at < kEndedLifetime &&
        report.limits.size() < kMaxReported) {
      report.limits.push_back({upstream, limit.per_second, limit.heard_at});
      limit.shared_per_second = limit.per_second;
      limit.shared_at = now;
    }
  }
  return report;
}

auto UpstreamLimits::IsReportDue(const Limit& limit, Instant now) -> bool {
  if (!limit.is_first_hand || now - limit.heard_at >= kEndedLifetime) {
    return false;
  }
  if (limit.per_second != limit.shared_per_second) {
    return true;
  }
  // Routers that do not send to the upstream have only an old response.
  return limit.per_second && now - limit.heard_at < kRenewInterval / 2 &&
         now - limit.shared_at >= kRenewInterval;
}

auto UpstreamLimits::StrictestOf(const UpstreamProcess& upstream) const
    -> std::optional<double> {
  const auto named = this->LimitOf(upstream);
  const auto found = this->temporaries.find(upstream);
  if (found == this->temporaries.end()) {
    return named;
  }
  return std::min(named.value_or(kMaxPerSecond), found->second.per_second);
}

auto UpstreamLimits::ApplyShare(const UpstreamProcess& upstream,
                                Instant not_before,
                                Instant now) -> void {
  const auto limit = this->StrictestOf(upstream);
  if (!limit) {
    this->directory.RemoveLimiter(upstream, now);
    return;
  }
  const auto limiter = this->directory.GetLimiter(upstream, now);
  if (limiter == nullptr) {
    return;  // The process has been replaced.
  }
  limiter->SetEnd(this->LimitOf(upstream)
                      ? Instant::max()
                      : this->temporaries.at(upstream).ends_at);
  const double rate = std::max(kMinPerSecond, *limit);
  if (!this->IsSender(upstream, rate)) {
    limiter->Forbid(
        std::min(kMaxRetryInterval, IntervalOf(rate) * this->fleet.routers));
    return;
  }
  const double used =
      rate * kUsedFraction *
      (this->fleet.is_log_reachable ? 1.0 : kUnreachableLogFraction);
  limiter->Allow(IntervalOf(used / CountSenders(rate, this->fleet.routers)),
                 not_before);
}

auto UpstreamLimits::IsSender(const UpstreamProcess& upstream,
                              double per_second) const -> bool {
  return !this->fleet.is_among_first ||
         this->fleet.is_among_first(
             upstream.id, CountSenders(per_second, this->fleet.routers));
}

//==============================================================================
// Queries

auto UpstreamLimits::LimitOf(const UpstreamProcess& upstream) const
    -> std::optional<double> {
  const auto found = this->limits.find(upstream);
  return found == this->limits.end() ? std::nullopt : found->second.per_second;
}

auto UpstreamLimits::VisitAll(
    const std::function<
        void(const UpstreamProcess&, double per_second, bool is_sender)>& visit)
    const -> void {
  for (const auto& [upstream, limit] : this->limits) {
    if (limit.per_second) {
      visit(upstream, *limit.per_second,
            this->IsSender(upstream, *limit.per_second));
    }
  }
}

}  // namespace auburnloft::gateway

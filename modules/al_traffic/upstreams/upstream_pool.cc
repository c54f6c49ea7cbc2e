#include "al_traffic/upstreams/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** The weight of a load report halves in this time, since it gets out of date.
 */
constexpr Duration kReportHalfLife = std::chrono::seconds(2);

/** Consecutive failures after which an upstream is ejected: it gets no requests
 * for a while. */
constexpr int kFailuresUntilEjection = 3;
constexpr Duration kMinEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(16);

/** Slow start: after an ejection, or if an upstream is no longer leaving, its
 * limit of in-flight requests rises to the full value over this time. */
constexpr Duration kSlowStartDuration = std::chrono::seconds(5);

/** Interactive requests may exceed an engine's slots by this factor, since the
 * engine schedules them before background requests. */
constexpr double kInteractiveOvercommit = 1.5;

/** Background requests may use slots of other routers while less than this
 * share of an engine's background slots is in use. Load reports are out of
 * date, and several routers may borrow at the same time. */
constexpr double kBorrowThreshold = 0.5;

auto ChooserFor(ChooserKind kind) -> AnyUpstreamChooser {
  switch (kind) {
    case ChooserKind::kRandom:
      return RandomChooser();
    case ChooserKind::kRoundRobin:
      return RoundRobinChooser();
    case ChooserKind::kLeastInFlight:
      return LeastInFlightChooser();
    case ChooserKind::kScored:
      break;
  }
  return ScoredChooser();
}

}  // namespace

UpstreamPool::UpstreamPool(RouterId self,
                           DomainId own_domain,
                           RandomSource& random)
    : self(std::move(self)),
      own_domain(std::move(own_domain)),
      random(random) {}

//==============================================================================
// Commands

auto UpstreamPool::SetConfiguration(const Configuration& configuration,
                                    std::span<const RouterId> routers) -> void {
  const AnyUpstreamChooser configured =
      ChooserFor(configuration.defaults.traffic.chooser);
  if (configured.index() != this->chooser.index()) {
    this->chooser = configured;
  }
  const bool same_routers = std::ranges::equal(this->sharing_routers, routers);
  this->sharing_routers.assign(routers.begin(), routers.end());
  std::vector<Member> next;
  for (const Upstream& upstream : configuration.upstreams) {
    Member* const known = this->Find(upstream.id);
    Member& member =
        next.emplace_back(known == nullptr ? Member{} : std::move(*known));
    if (member.upstream.address != upstream.address) {
      member.prefixes.Clear();
    }
    member.upstream = upstream;
    this->AssignBackgroundSlots(
        member, configuration.defaults.traffic.background_share, same_routers);
  }
  this->all = std::move(next);
}

auto UpstreamPool::AssignBackgroundSlots(Member& member,
                                         double share,
                                         bool same_routers) const -> void {
  const auto slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(share * member.upstream.slots));
  if (same_routers && member.background_slots == slots) {
    return;
  }
  member.background_slots = slots;
  member.own_background_slots = 0;
  for (std::uint32_t slot = 0; slot < slots; ++slot) {
    const std::string item =
        member.upstream.id.value() + "/" + std::to_string(slot);
    const auto owner = std::ranges::max_element(
        this->sharing_routers, {}, [&](const RouterId& router) {
          return StableHash(router.value(), item);
        });
    if (owner != this->sharing_routers.end() && *owner == this->self) {
      ++member.own_background_slots;
    }
  }
}

auto UpstreamPool::SetLeaving(
    Instant now,
    const std::function<bool(const UpstreamId&)>& is_leaving) -> void {
  for (Member& member : this->all) {
    const bool leaving =
        is_leaving(member.upstream.id) || member.report.leaving;
    if (member.leaving && !leaving) {
      member.slow_start_began = now;
    }
    member.leaving = leaving;
  }
}

auto UpstreamPool::TryAcquire(Instant now, const UpstreamQuery& query)
    -> std::optional<UpstreamId> {
  std::vector<Candidate> candidates;
  for (std::size_t index = 0; index < this->all.size(); ++index) {
    const Member& member = this->all[index];
    if (!Matches(member, query) || !this->CanAccept(now, member, query)) {
      continue;
    }
    candidates.push_back(
        {index,
         static_cast<double>(member.own_interactive + member.own_background),
         this->OthersInFlight(now, member),
         static_cast<double>(member.upstream.slots),
         member.prefixes.MatchFraction(query.prefix),
         member.upstream.domain == this->own_domain});
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t position = std::visit(
      [&](auto& chosen) { return chosen.Choose(candidates, this->random); },
      this->chooser);
  Member& member = this->all[candidates[position].index];
  this->Acquire(member.upstream.id, query.latency_class);
  member.prefixes.RecordCached(query.prefix);
  return member.upstream.id;
}

auto UpstreamPool::Acquire(const UpstreamId& upstream,
                           LatencyClass latency_class) -> void {
  if (Member* const member = this->Find(upstream)) {
    ++(latency_class == LatencyClass::kInteractive ? member->own_interactive
                                                   : member->own_background);
  }
}

auto UpstreamPool::Release(const UpstreamId& upstream,
                           LatencyClass latency_class) -> void {
  Member* const member = this->Find(upstream);
  if (member == nullptr) {
    return;
  }
  std::uint32_t& count = latency_class == LatencyClass::kInteractive
                             ? member->own_interactive
                             : member->own_background;
  count -= std::min<std::uint32_t>(count, 1);
}

auto UpstreamPool::RecordSuccess(const UpstreamId& upstream) -> void {
  if (Member* const member = this->Find(upstream)) {
    member->consecutive_failures = 0;
  }
}

auto UpstreamPool::RecordFailure(Instant now, const UpstreamId& upstream)
    -> void {
  Member* const member = this->Find(upstream);
  if (member == nullptr ||
      ++member->consecutive_failures < kFailuresUntilEjection) {
    return;
  }
  const int doublings =
      std::min(member->consecutive_failures - kFailuresUntilEjection, 4);
  const Duration ejection =
      std::min(kMinEjection * (1 << doublings), kMaxEjection);
  member->ejected_until = now + ejection;
  member->slow_start_began = member->ejected_until;
}

auto UpstreamPool::RecordLoadReport(Instant now,
                                    const UpstreamId& upstream,
                                    const LoadReport& report) -> void {
  if (Member* const member = this->Find(upstream)) {
    member->report = report;
    member->reported_at = now;
    member->own_at_report = member->own_interactive + member->own_background;
    member->own_background_at_report = member->own_background;
    member->leaving = member->leaving || report.leaving;
  }
}

auto UpstreamPool::RecordCached(const UpstreamId& upstream,
                                std::span<const PrefixDigest> digests) -> void {
  if (Member* const member = this->Find(upstream)) {
    member->prefixes.RecordCached(digests);
  }
}

auto UpstreamPool::RecordEvicted(const UpstreamId& upstream,
                                 PrefixDigest digest) -> void {
  if (Member* const member = this->Find(upstream)) {
    member->prefixes.RecordEvicted(digest);
  }
}

auto UpstreamPool::Find(const UpstreamId& upstream) -> Member* {
  const auto found = std::ranges::find_if(this->all, [&](const Member& item) {
    return item.upstream.id == upstream;
  });
  return found == this->all.end() ? nullptr : &*found;
}

//==============================================================================
// Queries

auto UpstreamPool::Matches(const Member& member, const UpstreamQuery& query)
    -> bool {
  if (!query.service.empty()) {
    return member.upstream.service == query.service;
  }
  const std::vector<std::string>& models = member.upstream.models;
  return member.upstream.kind == UpstreamKind::kEngine &&
         std::ranges::find(models, query.model) != models.end();
}

auto UpstreamPool::Serves(const UpstreamQuery& query) const -> bool {
  return std::ranges::any_of(
      this->all, [&](const Member& member) { return Matches(member, query); });
}

auto UpstreamPool::OthersInFlight(Instant now, const Member& member) const
    -> double {
  const double reported = member.report.running + member.report.waiting;
  const double others =
      std::max(0.0, reported - static_cast<double>(member.own_at_report));
  const double age = ToSeconds(now - member.reported_at);
  return others * std::exp2(-std::max(0.0, age) / ToSeconds(kReportHalfLife));
}

auto UpstreamPool::SlowStartLimit(Instant now, const Member& member) const
    -> double {
  const double slots = member.upstream.slots;
  if (member.slow_start_began == Instant{}) {
    return slots * kInteractiveOvercommit;
  }
  const double elapsed = ToSeconds(now - member.slow_start_began);
  const double fraction =
      std::clamp(elapsed / ToSeconds(kSlowStartDuration), 0.0, 1.0);
  return std::max(1.0, slots * kInteractiveOvercommit * fraction);
}

auto UpstreamPool::CanAccept(Instant now,
                             const Member& member,
                             const UpstreamQuery& query) const -> bool {
  const bool is_excluded =
      query.excluded != nullptr && query.excluded->contains(member.upstream.id);
  if (member.leaving || is_excluded || now < member.ejected_until) {
    return false;
  }
  const double own = member.own_interactive + member.own_background;
  const double total = own + this->OthersInFlight(now, member);
  if (own >= this->SlowStartLimit(now, member)) {
    return false;
  }
  const double slots = member.upstream.slots;
  if (member.upstream.kind == UpstreamKind::kService ||
      query.latency_class == LatencyClass::kInteractive) {
    return total < slots * kInteractiveOvercommit;
  }
  return CanAcceptBackground(member);
}

auto UpstreamPool::CanAcceptBackground(const Member& member) -> bool {
  if (member.own_background < member.own_background_slots) {
    return true;
  }
  // Borrows a slot of another router while enough of the engine's slots are
  // free.
  const double sent_since =
      std::max(0.0, static_cast<double>(member.own_background) -
                        member.own_background_at_report);
  return member.report.background_running + sent_since <
         member.background_slots * kBorrowThreshold;
}

auto UpstreamPool::InFlight() const -> std::uint32_t {
  return std::accumulate(this->all.begin(), this->all.end(), 0U,
                         [](std::uint32_t sum, const Member& member) {
                           return sum + member.own_interactive +
                                  member.own_background;
                         });
}

}  // namespace auburnloft

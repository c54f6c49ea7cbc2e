#include "al_traffic/upstreams/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** The weight of a load report halves in this time. */
constexpr Duration kReportHalfLife = std::chrono::seconds(2);

/** Failures in a row after which an upstream gets no work for a while. */
constexpr int kFailuresToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(16);

/** An upstream that comes back takes its whole load only after this time. */
constexpr Duration kEaseIn = std::chrono::seconds(5);

/** Quick work may stand before an engine's slots by this factor: the engine
 * takes it first. */
constexpr double kQuickOvercommit = 1.5;

/** Patient work borrows slots of other routers while less than this part of an
   engine's patient slots is taken: reports lag, and several routers may borrow
   at once. */
constexpr double kBorrowBelow = 0.5;

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
  const AnyUpstreamChooser wanted =
      ChooserFor(configuration.defaults.traffic.chooser);
  if (wanted.index() != this->chooser.index()) {
    this->chooser = wanted;
  }
  const bool same_routers = std::ranges::equal(this->sharers, routers);
  this->sharers.assign(routers.begin(), routers.end());
  std::vector<Member> next;
  for (const Upstream& upstream : configuration.upstreams) {
    Member* const known = this->Find(upstream.id);
    Member& member =
        next.emplace_back(known == nullptr ? Member{} : std::move(*known));
    if (member.upstream.address != upstream.address) {
      member.prefixes.Clear();
    }
    member.upstream = upstream;
    this->SharePatientSlots(
        member, configuration.defaults.traffic.background_share, same_routers);
  }
  this->all = std::move(next);
}

auto UpstreamPool::SharePatientSlots(Member& member,
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
        this->sharers, {}, [&](const RouterId& router) {
          return StableHash(router.value(), item);
        });
    if (owner != this->sharers.end() && *owner == this->self) {
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
    if (!Matches(member, query) || !this->MayTake(now, member, query)) {
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
  const std::size_t place = std::visit(
      [&](auto& chosen) { return chosen.Choose(candidates, this->random); },
      this->chooser);
  Member& member = this->all[candidates[place].index];
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
    member->failures_in_row = 0;
  }
}

auto UpstreamPool::RecordFailure(Instant now, const UpstreamId& upstream)
    -> void {
  Member* const member = this->Find(upstream);
  if (member == nullptr || ++member->failures_in_row < kFailuresToEject) {
    return;
  }
  const int doublings = std::min(member->failures_in_row - kFailuresToEject, 4);
  const Duration ejection =
      std::min(kFirstEjection * (1 << doublings), kLongestEjection);
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
    return slots * kQuickOvercommit;
  }
  const double back = ToSeconds(now - member.slow_start_began);
  const double part = std::clamp(back / ToSeconds(kEaseIn), 0.0, 1.0);
  return std::max(1.0, slots * kQuickOvercommit * part);
}

auto UpstreamPool::MayTake(Instant now,
                           const Member& member,
                           const UpstreamQuery& query) const -> bool {
  const bool avoided =
      query.excluded != nullptr && query.excluded->contains(member.upstream.id);
  if (member.leaving || avoided || now < member.ejected_until) {
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
    return total < slots * kQuickOvercommit;
  }
  return MayTakePatient(member);
}

auto UpstreamPool::MayTakePatient(const Member& member) -> bool {
  if (member.own_background < member.own_background_slots) {
    return true;
  }
  // A slot of another router may be borrowed while the engine has many to
  // spare.
  const double sent_since =
      std::max(0.0, static_cast<double>(member.own_background) -
                        member.own_background_at_report);
  return member.report.background_running + sent_since <
         member.background_slots * kBorrowBelow;
}

auto UpstreamPool::InFlight() const -> std::uint32_t {
  return std::accumulate(this->all.begin(), this->all.end(), 0U,
                         [](std::uint32_t sum, const Member& member) {
                           return sum + member.own_interactive +
                                  member.own_background;
                         });
}

}  // namespace auburnloft

#include "al_gateway/membership/router_registry.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Announcement interval of a small fleet. */
constexpr Duration kMinAnnouncementInterval = std::chrono::milliseconds(1'000);

/** Maximum announcements per second that each router reads, in any fleet. */
constexpr std::size_t kMaxAnnouncementsPerSecond = 100;

/** Timeout of a member in announcement intervals: three announcements may be
   late or lost. */
constexpr double kTimeoutIntervals = 3.2;

/** A caller gets the addresses of the routers of its region if its own domain
   has fewer than this, and of all if its region has fewer: it could go to no
   other router if a single one fails. */
constexpr std::size_t kMinRoutersInDomain = 2;

/** Maximum routers that report per second, with several entries each. Reading
   more reports would cost a small machine more than routing does. */
constexpr int kMaxReportsPerSecond = 32;

}  // namespace

auto AnnouncementInterval(std::size_t routers) -> Duration {
  const auto count =
      static_cast<std::int64_t>(std::max(routers, kMaxAnnouncementsPerSecond));
  return kMinAnnouncementInterval * count /
         static_cast<std::int64_t>(kMaxAnnouncementsPerSecond);
}

auto ShouldReportSpending(std::string_view name,
                          std::uint64_t number,
                          int routers) -> bool {
  const auto period = static_cast<std::uint64_t>(
      std::max(1, (routers + kMaxReportsPerSecond - 1) / kMaxReportsPerSecond));
  return (number + StableHash(name) % period) % period == 0;
}

auto RouterNameOf(std::string_view incarnation) -> std::string_view {
  return incarnation.substr(0, incarnation.rfind('#'));
}

//==============================================================================
// Commands

auto RouterRegistry::Apply(RouterAnnouncement announcement, Instant now)
    -> void {
  Member& member = this->members[announcement.name];
  member.announcement = std::move(announcement);
  member.refreshed_at = now;
}

auto RouterRegistry::RecordLogRecovery(Instant now) -> void {
  for (auto& [name, member] : this->members) {
    member.refreshed_at = std::max(member.refreshed_at, now);
  }
}

//==============================================================================
// Queries

auto RouterRegistry::AddressesFor(std::string_view domain,
                                  std::string_view region,
                                  Instant now) const
    -> std::vector<std::string> {
  std::vector<std::string> in_domain;
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  for (const auto& [name, member] : this->members) {
    if (!this->IsActive(member, now) || member.announcement.leaving) {
      continue;
    }
    all.push_back(member.announcement.client_address);
    if (member.announcement.domain == domain) {
      in_domain.push_back(member.announcement.client_address);
    }
    if (!region.empty() && member.announcement.region == region) {
      in_region.push_back(member.announcement.client_address);
    }
  }
  if (in_domain.size() >= kMinRoutersInDomain) {
    return in_domain;
  }
  return in_region.size() >= kMinRoutersInDomain ? in_region : all;
}

auto RouterRegistry::CountActive(Instant now) const -> int {
  const auto count = std::count_if(
      this->members.begin(), this->members.end(),
      [&](const auto& item) { return this->IsActive(item.second, now); });
  return std::max(1, static_cast<int>(count));
}

auto RouterRegistry::IsActiveIncarnation(std::string_view incarnation,
                                         Instant now) const -> bool {
  return this->FindActive(incarnation, now) != nullptr;
}

auto RouterRegistry::FindActive(std::string_view incarnation, Instant now) const
    -> const RouterAnnouncement* {
  const auto found = this->members.find(std::string(RouterNameOf(incarnation)));
  const bool is_active =
      found != this->members.end() &&
      found->second.announcement.incarnation == incarnation &&
      this->IsActive(found->second, now);
  return is_active ? &found->second.announcement : nullptr;
}

auto RouterRegistry::IsAmongHighestRanked(std::string_view item,
                                          int count,
                                          Instant now) const -> bool {
  return this->IsAmongHighestRankedExcept({}, item, count, now);
}

auto RouterRegistry::IsAmongHighestRankedExcept(std::string_view except,
                                                std::string_view item,
                                                int count,
                                                Instant now) const -> bool {
  const std::uint64_t own = StableHash(item, this->self);
  int ranked_higher = 0;
  for (const auto& [name, member] : this->members) {
    if (name != this->self && !member.announcement.leaving &&
        (except.empty() || member.announcement.incarnation != except) &&
        this->IsActive(member, now) && StableHash(item, name) > own) {
      ++ranked_higher;
    }
  }
  return ranked_higher < count;
}

auto RouterRegistry::HaveAllAnnounced(std::uint64_t log_era, Instant now) const
    -> bool {
  return std::all_of(this->members.begin(), this->members.end(),
                     [&](const auto& item) {
                       return item.first == this->self ||
                              item.second.announcement.log_era == 0 ||
                              item.second.announcement.log_era >= log_era ||
                              !this->IsActive(item.second, now);
                     });
}

auto RouterRegistry::HasAnyAnnounced(std::uint64_t log_era) const -> bool {
  return std::any_of(this->members.begin(), this->members.end(),
                     [log_era](const auto& item) {
                       return item.second.announcement.log_era >= log_era;
                     });
}

auto RouterRegistry::NewestAnnouncementAt() const -> std::optional<Instant> {
  Instant newest{};
  for (const auto& [name, member] : this->members) {
    newest = std::max(newest, member.announcement.written_at);
  }
  return newest == Instant() ? std::nullopt : std::optional(newest);
}

auto RouterRegistry::FindHighestRanked(std::string_view item, Instant now) const
    -> const RouterAnnouncement* {
  const RouterAnnouncement* highest = nullptr;
  std::uint64_t highest_rank = 0;
  for (const auto& [name, member] : this->members) {
    const std::uint64_t rank = StableHash(item, name);
    if (name != this->self && !member.announcement.leaving &&
        this->IsActive(member, now) &&
        (highest == nullptr || rank > highest_rank)) {
      highest = &member.announcement;
      highest_rank = rank;
    }
  }
  return highest;
}

auto RouterRegistry::FindHighestRankedAcrossDomains(std::string_view item,
                                                    std::size_t count,
                                                    Instant now) const
    -> std::vector<const RouterAnnouncement*> {
  return this->RankAcrossDomains(item, count, false, now);
}

auto RouterRegistry::FindHighestRankedLeaving(std::string_view item,
                                              std::size_t count,
                                              Instant now) const
    -> std::vector<const RouterAnnouncement*> {
  return this->RankAcrossDomains(item, count, true, now);
}

auto RouterRegistry::RankAcrossDomains(std::string_view item,
                                       std::size_t count,
                                       bool leaving,
                                       Instant now) const
    -> std::vector<const RouterAnnouncement*> {
  std::vector<std::pair<std::uint64_t, const RouterAnnouncement*>> ranked;
  for (const auto& [name, member] : this->members) {
    if (name != this->self && member.announcement.leaving == leaving &&
        this->IsActive(member, now)) {
      ranked.emplace_back(StableHash(item, name), &member.announcement);
    }
  }
  std::vector<const RouterAnnouncement*> found;
  std::set<std::string_view> domains;
  while (found.size() < count && !ranked.empty()) {
    const auto next =
        std::ranges::max_element(ranked, {}, [&domains](const auto& router) {
          return std::pair(!domains.contains(router.second->domain),
                           router.first);
        });
    if (domains.contains(next->second->domain)) {
      domains.clear();  // Each has one; begin anew.
      continue;
    }
    domains.insert(next->second->domain);
    found.push_back(next->second);
    ranked.erase(next);
  }
  return found;
}

auto RouterRegistry::MeanRequestRate(Instant now) const -> double {
  double sum = 0.0;
  for (const auto& [name, member] : this->members) {
    sum += this->IsActive(member, now) ? member.announcement.requests_per_second
                                       : 0.0;
  }
  return sum / this->CountActive(now);
}

auto RouterRegistry::VisitAll(
    Instant now,
    const std::function<void(const RouterAnnouncement&, bool)>& visit) const
    -> void {
  for (const auto& [name, member] : this->members) {
    visit(member.announcement, this->IsActive(member, now));
  }
}

auto RouterRegistry::IsActive(const Member& member, Instant now) const -> bool {
  return member.announcement.name == this->self ||
         now - member.refreshed_at < this->activity_timeout();
}

auto RouterRegistry::activity_timeout() const -> Duration {
  // This counts expired members too, which can only lengthen the timeout.
  const Duration interval = AnnouncementInterval(this->members.size());
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(interval.count()) * kTimeoutIntervals));
}

}  // namespace auburnloft::gateway

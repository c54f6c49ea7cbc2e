#include "al_gateway/membership/router_registry.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Announcements of a small fleet come every second. */
constexpr Duration kAnnouncePause = std::chrono::milliseconds(1'000);

/** Announcements a second that each router reads, in the largest fleets. */
constexpr std::size_t kAnnouncementsASecond = 100;

/** Three announcements may be late or lost. */
constexpr double kAlivePauses = 3.2;

/** Routers of a caller's own domain below which it is told of all. */
constexpr std::size_t kEnoughInDomain = 2;

/** Routers that report in one second, some entries each: with more, reading
    the reports would cost a small machine more than routing does. */
constexpr int kReportsASecond = 32;

}  // namespace

auto AnnouncementInterval(std::size_t routers) -> Duration {
  const auto count =
      static_cast<std::int64_t>(std::max(routers, kAnnouncementsASecond));
  return kAnnouncePause * count /
         static_cast<std::int64_t>(kAnnouncementsASecond);
}

auto ShouldReportSpending(std::string_view name,
                          std::uint64_t beat,
                          int routers) -> bool {
  const auto every = static_cast<std::uint64_t>(
      std::max(1, (routers + kReportsASecond - 1) / kReportsASecond));
  return (beat + StableHash(name) % every) % every == 0;
}

auto RouterNameOf(std::string_view incarnation) -> std::string_view {
  return incarnation.substr(0, incarnation.rfind('#'));
}

//==============================================================================
// Commands

auto RouterRegistry::Apply(RouterAnnouncement announcement, Instant now)
    -> void {
  Member& member = this->members[announcement.name];
  member.said = std::move(announcement);
  member.seen_at = now;
}

auto RouterRegistry::RecordLogRecovery(Instant now) -> void {
  for (auto& [name, member] : this->members) {
    member.seen_at = std::max(member.seen_at, now);
  }
}

//==============================================================================
// Queries

auto RouterRegistry::AddressesFor(std::string_view domain, Instant now) const
    -> std::vector<std::string> {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& [name, member] : this->members) {
    if (!this->IsActive(member, now) || member.said.leaving) {
      continue;
    }
    all.push_back(member.said.client_address);
    if (member.said.domain == domain) {
      near.push_back(member.said.client_address);
    }
  }
  return near.size() >= kEnoughInDomain ? near : all;
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
  const bool living = found != this->members.end() &&
                      found->second.said.incarnation == incarnation &&
                      this->IsActive(found->second, now);
  return living ? &found->second.said : nullptr;
}

auto RouterRegistry::IsAmongHighestRanked(std::string_view item,
                                          int count,
                                          Instant now) const -> bool {
  const std::uint64_t own = StableHash(item, this->self);
  int before = 0;
  for (const auto& [name, member] : this->members) {
    if (name != this->self && !member.said.leaving &&
        this->IsActive(member, now) && StableHash(item, name) > own) {
      ++before;
    }
  }
  return before < count;
}

auto RouterRegistry::VisitAll(
    Instant now,
    const std::function<void(const RouterAnnouncement&, bool)>& visit) const
    -> void {
  for (const auto& [name, member] : this->members) {
    visit(member.said, this->IsActive(member, now));
  }
}

auto RouterRegistry::IsActive(const Member& member, Instant now) const -> bool {
  return member.said.name == this->self ||
         now - member.seen_at < this->alive_for();
}

auto RouterRegistry::alive_for() const -> Duration {
  // Members that have left count as well: they lengthen the span, never cut it.
  const Duration pause = AnnouncementInterval(this->members.size());
  return Duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) *
                                            kAlivePauses));
}

}  // namespace auburnloft::gateway

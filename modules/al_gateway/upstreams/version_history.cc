#include "al_gateway/upstreams/version_history.h"

#include <algorithm>
#include <span>

#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

auto VersionHistory::Begin(Instant covered_since) -> void {
  if (!this->began_at) {
    this->began_at = covered_since;
  }
}

auto VersionHistory::Update(Instant now) -> void {
  this->directory.VisitServices(
      [&](std::span<const UpstreamDirectory::State> upstreams) {
        for (const UpstreamDirectory::State& upstream : upstreams) {
          const UpstreamRecord& record = upstream->record();
          this->listed_at[record.service][record.version] = now;
        }
      });
  for (auto& [service, versions] : this->listed_at) {
    std::erase_if(versions, [now](const auto& item) {
      return now - item.second >= kPeriod;
    });
  }
}

auto VersionHistory::Extend(std::span<const Sighting> sightings,
                            Duration covered,
                            Instant now) -> void {
  if (!this->began_at) {
    return;
  }
  for (const Sighting& sighting : sightings) {
    if (sighting.age >= Duration(0) && sighting.age < kPeriod) {
      Instant& listed_at = this->listed_at[sighting.service][sighting.version];
      listed_at = std::max(listed_at, now - sighting.age);
    }
  }
  // The sightings reach back no further.
  this->began_at = std::min(*this->began_at, now - std::min(covered, kPeriod));
}

auto VersionHistory::Sightings(Instant now) const -> std::vector<Sighting> {
  std::vector<Sighting> sightings;
  for (const auto& [service, versions] : this->listed_at) {
    for (const auto& [version, at] : versions) {
      if (now - at < kPeriod) {
        sightings.push_back({service, version, now - at});
      }
    }
  }
  return sightings;
}

auto VersionHistory::VersionsOf(std::string_view service, Instant now) const
    -> std::set<std::string> {
  std::set<std::string> versions;
  for (const UpstreamDirectory::State& upstream :
       this->directory.UpstreamsOfService(service)) {
    versions.insert(upstream->record().version);
  }
  if (const auto found = this->listed_at.find(service);
      found != this->listed_at.end()) {
    for (const auto& [version, at] : found->second) {
      if (now - at < kPeriod) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

}  // namespace auburnloft::gateway

#include "al_gateway/upstreams/version_history.h"

#include <span>

#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

auto VersionHistory::Begin(Instant now) -> void {
  if (!this->began_at) {
    this->began_at = now;
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

auto VersionHistory::MixedServices(Instant now) const
    -> std::vector<std::string> {
  std::vector<std::string> mixed;
  for (const auto& [service, versions] : this->listed_at) {
    if (this->IsMixed(service, now)) {
      mixed.push_back(service);
    }
  }
  return mixed;
}

}  // namespace auburnloft::gateway

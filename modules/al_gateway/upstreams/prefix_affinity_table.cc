#include "al_gateway/upstreams/prefix_affinity_table.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** How long a part is believed to stay in an engine's memory: the window in
   which engines' operators expect it to be used again. */
constexpr Duration kKept = std::chrono::seconds(10);

/** Parts remembered before old ones are dropped. */
constexpr std::size_t kMostParts = 8'192;

}  // namespace

auto PrefixAffinityTable::RecordPart(std::string_view part,
                                     std::string_view upstream,
                                     Instant now) -> void {
  if (this->sights.size() >= kMostParts) {
    this->Prune(now);
  }
  std::vector<Sight>& seen = this->sights[StableHash(part)];
  const std::uint64_t hash = StableHash(upstream);
  const auto found = std::find_if(
      seen.begin(), seen.end(),
      [hash](const Sight& sight) { return sight.upstream == hash; });
  if (found != seen.end()) {
    found->at = now;
  } else {
    seen.push_back({hash, now});
  }
}

auto PrefixAffinityTable::IsLikelyCached(std::string_view part,
                                         std::string_view upstream,
                                         Instant now) const -> bool {
  const auto found = this->sights.find(StableHash(part));
  if (found == this->sights.end()) {
    return false;
  }
  const std::uint64_t hash = StableHash(upstream);
  return std::any_of(found->second.begin(), found->second.end(),
                     [hash, now](const Sight& sight) {
                       return sight.upstream == hash && now - sight.at < kKept;
                     });
}

auto PrefixAffinityTable::Prune(Instant now) -> void {
  std::erase_if(this->sights, [now](const auto& item) {
    return std::all_of(
        item.second.begin(), item.second.end(),
        [now](const Sight& sight) { return now - sight.at >= kKept; });
  });
  if (this->sights.size() >= kMostParts) {
    this->sights.clear();
  }
}

}  // namespace auburnloft::gateway

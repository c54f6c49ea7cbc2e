#include "al_gateway/upstreams/prefix_affinity_table.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft::gateway {

namespace {

/** Estimated time for which an engine keeps a part in its prefix cache: the
   period in which the engines' operators expect it to be used again. */
constexpr Duration kCachedPeriod = std::chrono::seconds(10);

/** Number of parts from which old ones are removed. */
constexpr std::size_t kMaxParts = 8'192;

}  // namespace

auto PrefixAffinityTable::RecordPart(std::string_view part,
                                     std::string_view upstream,
                                     Instant now) -> void {
  if (this->sent_parts.size() >= kMaxParts) {
    this->Prune(now);
  }
  std::vector<SentPart>& records = this->sent_parts[StableHash(part)];
  const std::uint64_t hash = StableHash(upstream);
  const auto found = std::find_if(
      records.begin(), records.end(),
      [hash](const SentPart& sent) { return sent.upstream == hash; });
  if (found != records.end()) {
    found->sent_at = now;
  } else {
    records.push_back({hash, now});
  }
}

auto PrefixAffinityTable::IsLikelyCached(std::string_view part,
                                         std::string_view upstream,
                                         Instant now) const -> bool {
  const auto found = this->sent_parts.find(StableHash(part));
  if (found == this->sent_parts.end()) {
    return false;
  }
  const std::uint64_t hash = StableHash(upstream);
  return std::any_of(found->second.begin(), found->second.end(),
                     [hash, now](const SentPart& sent) {
                       return sent.upstream == hash &&
                              now - sent.sent_at < kCachedPeriod;
                     });
}

auto PrefixAffinityTable::Prune(Instant now) -> void {
  std::erase_if(this->sent_parts, [now](const auto& item) {
    return std::all_of(item.second.begin(), item.second.end(),
                       [now](const SentPart& sent) {
                         return now - sent.sent_at >= kCachedPeriod;
                       });
  });
  if (this->sent_parts.size() >= kMaxParts) {
    this->sent_parts.clear();
  }
}

}  // namespace auburnloft::gateway

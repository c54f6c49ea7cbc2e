#include "al_traffic/upstreams/prefix_cache_estimate.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** Characters of a block: some 64 tokens, the granularity at which engines
 * share prefixes. */
constexpr std::size_t kBlockSize = 256;

/** Blocks of a prompt that are looked at; a longer common beginning adds
 * nothing to a choice. */
constexpr std::size_t kMostBlocks = 32;

}  // namespace

auto PrefixDigestsOf(std::string_view prompt) -> std::vector<PrefixDigest> {
  std::vector<PrefixDigest> digests;
  const std::size_t blocks = std::min(prompt.size() / kBlockSize, kMostBlocks);
  PrefixDigest digest = 0;
  for (std::size_t i = 0; i < blocks; ++i) {
    const std::string_view block = prompt.substr(i * kBlockSize, kBlockSize);
    digest = StableHash(std::to_string(digest), block);
    digests.push_back(digest);
  }
  return digests;
}

auto PrefixCacheEstimate::RecordCached(std::span<const PrefixDigest> digests)
    -> void {
  for (const PrefixDigest digest : digests) {
    const auto found = this->places.find(digest);
    if (found != this->places.end()) {
      this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
      continue;
    }
    this->by_use.push_front(digest);
    this->places[digest] = this->by_use.begin();
  }
  while (this->places.size() > kCapacity) {
    this->places.erase(this->by_use.back());
    this->by_use.pop_back();
  }
}

auto PrefixCacheEstimate::RecordEvicted(PrefixDigest digest) -> void {
  const auto found = this->places.find(digest);
  if (found != this->places.end()) {
    this->by_use.erase(found->second);
    this->places.erase(found);
  }
}

auto PrefixCacheEstimate::Clear() -> void {
  this->by_use.clear();
  this->places.clear();
}

auto PrefixCacheEstimate::MatchFraction(
    std::span<const PrefixDigest> digests) const -> double {
  if (digests.empty()) {
    return 0.0;
  }
  std::size_t matched = 0;
  while (matched < digests.size() && this->places.contains(digests[matched])) {
    ++matched;
  }
  return static_cast<double>(matched) / static_cast<double>(digests.size());
}

}  // namespace auburnloft

#include "al_traffic/upstreams/prefix_cache_estimate.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** Size of a block: about 64 tokens, the granularity at which engines share
 * prefixes. */
constexpr std::size_t kBlockBytes = 256;

/** Blocks of a prompt that are compared; a longer common prefix does not change
 * the choice of an upstream. */
constexpr std::size_t kMaxPromptBlocks = 32;

}  // namespace

auto PrefixDigestsOf(std::string_view prompt) -> std::vector<PrefixDigest> {
  std::vector<PrefixDigest> digests;
  const std::size_t blocks =
      std::min(prompt.size() / kBlockBytes, kMaxPromptBlocks);
  PrefixDigest digest = 0;
  for (std::size_t i = 0; i < blocks; ++i) {
    const std::string_view block = prompt.substr(i * kBlockBytes, kBlockBytes);
    digest = StableHash(std::to_string(digest), block);
    digests.push_back(digest);
  }
  return digests;
}

auto PrefixCacheEstimate::RecordCached(std::span<const PrefixDigest> digests)
    -> void {
  for (const PrefixDigest digest : digests) {
    const auto found = this->positions.find(digest);
    if (found != this->positions.end()) {
      this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
      continue;
    }
    this->by_use.push_front(digest);
    this->positions[digest] = this->by_use.begin();
  }
  while (this->positions.size() > kMaxBlocks) {
    this->positions.erase(this->by_use.back());
    this->by_use.pop_back();
  }
}

auto PrefixCacheEstimate::RecordEvicted(PrefixDigest digest) -> void {
  const auto found = this->positions.find(digest);
  if (found != this->positions.end()) {
    this->by_use.erase(found->second);
    this->positions.erase(found);
  }
}

auto PrefixCacheEstimate::Clear() -> void {
  this->by_use.clear();
  this->positions.clear();
}

auto PrefixCacheEstimate::MatchFraction(
    std::span<const PrefixDigest> digests) const -> double {
  if (digests.empty()) {
    return 0.0;
  }
  std::size_t matched = 0;
  while (matched < digests.size() &&
         this->positions.contains(digests[matched])) {
    ++matched;
  }
  return static_cast<double>(matched) / static_cast<double>(digests.size());
}

}  // namespace auburnloft

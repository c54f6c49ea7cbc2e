#ifndef AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_
#define AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnloft {

/** The digest of a prompt prefix that ends at a block boundary. */
using PrefixDigest = std::uint64_t;

/** The digests of the prefixes of `prompt` that end at a block boundary,
 * shortest first, up to a fixed number of blocks. */
[[nodiscard]] auto PrefixDigestsOf(std::string_view prompt)
    -> std::vector<PrefixDigest>;

/** Estimates the contents of one engine's prefix cache.

    The estimate is updated by the requests sent to the engine and by its cache
   events, which arrive late and may be lost. Beyond its capacity it drops the
   least recently used blocks, as the engine does. A wrong estimate costs time
   but does not affect correctness.

    Thread safety: none; used on one thread.
*/
class PrefixCacheEstimate {
 public:
  /** Maximum number of blocks per engine; limits the memory use of a router. */
  static constexpr std::size_t kMaxBlocks = 2048;

  /** Records prefixes that were sent to the engine or reported as cached. */
  auto RecordCached(std::span<const PrefixDigest> digests) -> void;

  /** Records that the engine reported a prefix as evicted. */
  auto RecordEvicted(PrefixDigest digest) -> void;

  auto Clear() -> void;

  /** The estimated share of a prompt that is cached, 0 to 1. */
  [[nodiscard]] auto MatchFraction(std::span<const PrefixDigest> digests) const
      -> double;

  [[nodiscard]] auto size() const -> std::size_t {
    return this->positions.size();
  }

 private:
  std::list<PrefixDigest> by_use;  ///< Most recently used first.
  std::unordered_map<PrefixDigest, std::list<PrefixDigest>::iterator> positions;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_

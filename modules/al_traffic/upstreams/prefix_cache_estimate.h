#ifndef AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_
#define AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnloft {

/** The digest of a prompt's beginning, up to the end of one block. */
using PrefixDigest = std::uint64_t;

/** The digests of all beginnings of `prompt` that end with a block; the longest
 * last. */
[[nodiscard]] auto PrefixDigestsOf(std::string_view prompt)
    -> std::vector<PrefixDigest>;

/** What one engine's prefix cache is believed to hold.

    Learns from the requests sent there and from the engine's cache events,
   which come late and with gaps; forgets the least recently used beyond its
   capacity, as the engine does. A belief only: a wrong one costs time, never
   correctness.

    Thread safety: none; used on one thread.
*/
class PrefixCacheEstimate {
 public:
  /** Blocks remembered of one engine; bounds the memory of a router. */
  static constexpr std::size_t kCapacity = 2048;

  /** Notes that a prompt with these beginnings was sent there, or reported as
   * cached. */
  auto RecordCached(std::span<const PrefixDigest> digests) -> void;

  /** Notes that the engine reports a block as dropped. */
  auto RecordEvicted(PrefixDigest digest) -> void;

  auto Clear() -> void;

  /** The part of the prompt that is believed to be cached, 0 to 1. */
  [[nodiscard]] auto MatchFraction(std::span<const PrefixDigest> digests) const
      -> double;

  [[nodiscard]] auto size() const -> std::size_t { return this->places.size(); }

 private:
  std::list<PrefixDigest> by_use;  ///< The most recently used first.
  std::unordered_map<PrefixDigest, std::list<PrefixDigest>::iterator> places;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_UPSTREAMS_PREFIX_CACHE_ESTIMATE_H_

#ifndef STANDINS_ENGINE_PREFIX_CACHE_H_
#define STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace auburnloft::standins {

/** The prompt-prefix cache of the stand-in engine: an LRU cache of prompt
    blocks that also keeps the recent events an engine publishes about it.

    Thread safety: none; used on one thread.
*/
class PrefixCache {
 public:
  struct Event {
    std::uint64_t sequence = 0;
    bool stored = true;  ///< False: evicted.
    std::uint64_t digest = 0;
  };

  /** @param capacity  in blocks. */
  explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

  /** Looks up the blocks of a prompt and stores the missing ones.
      @return the length, in blocks, of the cached prefix. */
  auto Use(std::span<const std::uint64_t> digests) -> std::size_t;

  /** The events after number `sequence`, except those already discarded. */
  [[nodiscard]] auto EventsAfter(std::uint64_t sequence) const
      -> std::vector<Event>;

  /** Number of blocks found as part of a cached prefix so far. */
  [[nodiscard]] auto hits() const -> std::uint64_t { return this->hit_blocks; }

  /** Number of blocks looked up so far. */
  [[nodiscard]] auto lookups() const -> std::uint64_t {
    return this->looked_up_blocks;
  }

 private:
  auto RecordEvent(bool stored, std::uint64_t digest) -> void;

  std::size_t capacity;
  std::list<std::uint64_t> by_recency;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      cached_blocks;
  std::deque<Event> events;
  std::uint64_t next_sequence = 1;
  std::uint64_t hit_blocks = 0;
  std::uint64_t looked_up_blocks = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_ENGINE_PREFIX_CACHE_H_

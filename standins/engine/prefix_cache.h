#ifndef STANDINS_ENGINE_PREFIX_CACHE_H_
#define STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace auburnloft::standins {

/** The prompt-prefix cache of the stand-in engine: blocks in a memory of
   limited size, the least recently used dropped first, with the events that an
   engine publishes about it.

    Thread safety: none; used on one thread.
*/
class PrefixCache {
 public:
  struct Event {
    std::uint64_t sequence = 0;
    bool stored = true;  ///< Otherwise dropped.
    std::uint64_t digest = 0;
  };

  explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

  /** Uses the blocks of a prompt: counts those cached from the start, and
     stores the rest.
      @return the number of blocks that were cached. */
  auto Use(std::span<const std::uint64_t> digests) -> std::size_t;

  /** The events after `sequence`, as far as they are still kept. */
  [[nodiscard]] auto EventsAfter(std::uint64_t sequence) const
      -> std::vector<Event>;

  [[nodiscard]] auto hits() const -> std::uint64_t { return this->hit_blocks; }
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

#include "engine/prefix_cache.h"

namespace auburnloft::standins {

namespace {

/** Older events are discarded, so a slow reader sees a gap. */
constexpr std::size_t kMaxEvents = 1024;

}  // namespace

auto PrefixCache::Use(std::span<const std::uint64_t> digests) -> std::size_t {
  std::size_t cached = 0;
  while (cached < digests.size() &&
         this->cached_blocks.contains(digests[cached])) {
    ++cached;
  }
  this->hit_blocks += cached;
  this->looked_up_blocks += digests.size();
  for (const std::uint64_t digest : digests) {
    const auto found = this->cached_blocks.find(digest);
    if (found != this->cached_blocks.end()) {
      this->by_recency.splice(this->by_recency.begin(), this->by_recency,
                              found->second);
      continue;
    }
    this->by_recency.push_front(digest);
    this->cached_blocks[digest] = this->by_recency.begin();
    this->RecordEvent(true, digest);
  }
  while (this->cached_blocks.size() > this->capacity) {
    this->RecordEvent(false, this->by_recency.back());
    this->cached_blocks.erase(this->by_recency.back());
    this->by_recency.pop_back();
  }
  return cached;
}

auto PrefixCache::RecordEvent(bool stored, std::uint64_t digest) -> void {
  this->events.push_back({this->next_sequence++, stored, digest});
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
  }
}

auto PrefixCache::EventsAfter(std::uint64_t sequence) const
    -> std::vector<Event> {
  std::vector<Event> later;
  for (const Event& event : this->events) {
    if (event.sequence > sequence) {
      later.push_back(event);
    }
  }
  return later;
}

}  // namespace auburnloft::standins

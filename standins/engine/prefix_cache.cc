#include "engine/prefix_cache.h"

namespace auburnloft::standins {

namespace {

/** Older events are gone: whoever reads late sees a gap. */
constexpr std::size_t kKeptEvents = 1024;

}  // namespace

auto PrefixCache::Use(std::span<const std::uint64_t> digests) -> std::size_t {
  std::size_t cached = 0;
  while (cached < digests.size() && this->places.contains(digests[cached])) {
    ++cached;
  }
  this->hit_blocks += cached;
  this->used_blocks += digests.size();
  for (const std::uint64_t digest : digests) {
    const auto found = this->places.find(digest);
    if (found != this->places.end()) {
      this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
      continue;
    }
    this->by_use.push_front(digest);
    this->places[digest] = this->by_use.begin();
    this->Note(true, digest);
  }
  while (this->places.size() > this->capacity) {
    this->Note(false, this->by_use.back());
    this->places.erase(this->by_use.back());
    this->by_use.pop_back();
  }
  return cached;
}

auto PrefixCache::Note(bool stored, std::uint64_t digest) -> void {
  this->events.push_back({this->next_sequence++, stored, digest});
  if (this->events.size() > kKeptEvents) {
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

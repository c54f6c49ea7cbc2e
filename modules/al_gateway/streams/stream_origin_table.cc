#include "al_gateway/streams/stream_origin_table.h"

#include <utility>

namespace auburnloft::gateway {

auto StreamOriginTable::RecordOwn(StreamOrigin origin, Instant now) -> Entry* {
  Entry* const entry = this->Put(std::move(origin), 0, now, now);
  if (entry != nullptr) {
    entry->told = {};
  }
  return entry;
}

auto StreamOriginTable::RecordTold(StreamOrigin origin,
                                   std::uint64_t teller,
                                   Instant recorded_at,
                                   Instant now) -> void {
  this->Put(std::move(origin), teller, recorded_at, now);
}

auto StreamOriginTable::Put(StreamOrigin origin,
                            std::uint64_t teller,
                            Instant recorded_at,
                            Instant now) -> Entry* {
  this->DropOldest(now);
  if (origin.attempt_id.empty() || origin.attempt_id.size() > kMaxIdBytes) {
    return nullptr;
  }
  const StreamOrigin* const known = this->Find(origin.attempt_id, now);
  Entry& entry = this->streams[origin.attempt_id];
  if (known == nullptr) {
    entry = {};
  } else if (known->version.empty()) {
    origin.version.clear();  // A doubt remains.
  }
  if (known == nullptr || teller == 0 || entry.teller != 0) {
    entry.teller = teller;
  }
  entry.origin = std::move(origin);
  if (recorded_at > entry.recorded_at) {
    entry.recorded_at = recorded_at;
    this->order.emplace_back(entry.origin.attempt_id, recorded_at);
  }
  return &entry;
}

auto StreamOriginTable::DropOldest(Instant now) -> void {
  while (!this->order.empty() &&
         (now - this->order.front().second >= kLifetime ||
          this->order.size() >= kMaxStreams)) {
    const auto& [id, recorded_at] = this->order.front();
    const auto found = this->streams.find(id);
    // A stream that was recorded again has a later place in the order, too.
    if (found != this->streams.end() &&
        found->second.recorded_at == recorded_at) {
      this->streams.erase(found);
    }
    this->order.pop_front();
  }
}

auto StreamOriginTable::VisitEntries(Instant now,
                                     const std::function<void(Entry&)>& visit)
    -> void {
  for (auto& [id, entry] : this->streams) {
    if (now - entry.recorded_at < kLifetime) {
      visit(entry);
    }
  }
}

auto StreamOriginTable::Find(std::string_view attempt_id, Instant now) const
    -> const StreamOrigin* {
  const auto found = this->streams.find(std::string(attempt_id));
  return found == this->streams.end() ||
                 now - found->second.recorded_at >= kLifetime
             ? nullptr
             : &found->second.origin;
}

}  // namespace auburnloft::gateway

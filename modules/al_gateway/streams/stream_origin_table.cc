#include "al_gateway/streams/stream_origin_table.h"

namespace auburnloft::gateway {

auto StreamOriginTable::RecordOwn(StreamOrigin origin, Instant now) -> void {
  this->Record(std::move(origin), true, now);
}

auto StreamOriginTable::RecordTold(StreamOrigin origin, Instant now) -> void {
  this->Record(std::move(origin), false, now);
}

auto StreamOriginTable::Record(StreamOrigin origin, bool is_untold, Instant now)
    -> void {
  this->DropOldest(now);
  if (origin.attempt_id.empty() || origin.attempt_id.size() > kMaxIdBytes) {
    return;
  }
  const std::string id = origin.attempt_id;
  if (const StreamOrigin* const known = this->Find(id, now);
      known != nullptr && known->version.empty()) {
    origin.version.clear();  // A doubt remains.
  }
  this->streams[id] = {std::move(origin), now, is_untold};
  this->order.emplace_back(id, now);
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

auto StreamOriginTable::TakeUntold(std::string_view service, Instant now)
    -> std::vector<StreamOrigin> {
  std::vector<StreamOrigin> untold;
  for (auto& [id, entry] : this->streams) {
    if (entry.is_untold && entry.origin.service == service &&
        now - entry.recorded_at < kLifetime) {
      entry.is_untold = false;
      untold.push_back(entry.origin);
    }
  }
  return untold;
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

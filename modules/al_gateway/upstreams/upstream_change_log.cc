#include "al_gateway/upstreams/upstream_change_log.h"

namespace auburnloft::gateway {

namespace {

/** Removals that are remembered: more than a fleet of 3,000 upstreams loses
   between two questions, a third of them at once. */
constexpr std::size_t kMostRemovals = 1'024;

}  // namespace

//==============================================================================
// Commands

auto UpstreamChangeLog::RecordChange(
    const std::string& id,
    const std::optional<UpstreamRecord>& record) -> void {
  const auto found = this->by_id.find(id);
  const bool known = found != this->by_id.end();
  if (known ? found->second.record == record : !record) {
    return;
  }
  Entry& entry = this->by_id[id];
  this->by_number.erase(entry.number);
  if (known && !entry.record) {
    --this->removed;
  }
  entry.number = ++this->last;
  entry.record = record;
  this->by_number[entry.number] = id;
  if (!record) {
    ++this->removed;
    this->ForgetOldRemovals();
  }
}

auto UpstreamChangeLog::RemoveAllExcept(const std::set<std::string>& ids)
    -> void {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->by_id) {
    if (entry.record && !ids.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->RecordChange(id, std::nullopt);
  }
}

auto UpstreamChangeLog::ForgetOldRemovals() -> void {
  for (auto at = this->by_number.begin();
       this->removed > kMostRemovals && at != this->by_number.end();) {
    const auto entry = this->by_id.find(at->second);
    if (entry->second.record) {
      ++at;
      continue;
    }
    this->forgotten = at->first;
    this->by_id.erase(entry);
    at = this->by_number.erase(at);
    --this->removed;
  }
}

//==============================================================================
// Queries

auto UpstreamChangeLog::ChangesSince(std::uint64_t after) const
    -> UpstreamUpdate {
  UpstreamUpdate news;
  news.newest = this->last;
  news.whole = after == 0 || after < this->forgotten || after > this->last;
  const auto begin =
      news.whole ? this->by_number.begin() : this->by_number.upper_bound(after);
  for (auto at = begin; at != this->by_number.end(); ++at) {
    const Entry& entry = this->by_id.at(at->second);
    if (entry.record || !news.whole) {
      news.changes.push_back({at->second, entry.record});
    }
  }
  return news;
}

}  // namespace auburnloft::gateway

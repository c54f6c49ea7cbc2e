#include "al_gateway/upstreams/upstream_change_log.h"

namespace auburnloft::gateway {

namespace {

/** More tombstones than a fleet of 3,000 upstreams gets between two requests of
   a router, even if a third of the upstreams is lost at once. */
constexpr std::size_t kMaxTombstones = 1'024;

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
    --this->tombstones;
  }
  entry.number = ++this->last;
  entry.record = record;
  this->by_number[entry.number] = id;
  if (!record) {
    ++this->tombstones;
    this->DiscardOldTombstones();
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

auto UpstreamChangeLog::DiscardOldTombstones() -> void {
  for (auto at = this->by_number.begin();
       this->tombstones > kMaxTombstones && at != this->by_number.end();) {
    const auto entry = this->by_id.find(at->second);
    if (entry->second.record) {
      ++at;
      continue;
    }
    this->discarded = at->first;
    this->by_id.erase(entry);
    at = this->by_number.erase(at);
    --this->tombstones;
  }
}

//==============================================================================
// Queries

auto UpstreamChangeLog::ChangesSince(std::uint64_t after) const
    -> UpstreamUpdate {
  UpstreamUpdate update;
  update.newest = this->last;
  update.whole = after == 0 || after < this->discarded || after > this->last;
  const auto begin = update.whole ? this->by_number.begin()
                                  : this->by_number.upper_bound(after);
  for (auto at = begin; at != this->by_number.end(); ++at) {
    const Entry& entry = this->by_id.at(at->second);
    if (entry.record || !update.whole) {
      update.changes.push_back({at->second, entry.record});
    }
  }
  return update;
}

}  // namespace auburnloft::gateway

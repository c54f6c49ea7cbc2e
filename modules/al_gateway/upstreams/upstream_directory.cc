#include "al_gateway/upstreams/upstream_directory.h"

#include <utility>

namespace auburnloft::gateway {

namespace {

/** Grace period after an outage of the log. Records that expired during the
   outage return within about this time if their upstream still runs. */
constexpr Duration kGracePeriod = std::chrono::milliseconds(2'200);

}  // namespace

//==============================================================================
// Commands

auto UpstreamDirectory::Put(UpstreamRecord record) -> void {
  const auto found = this->by_id.find(record.id);
  if (found != this->by_id.end() &&
      found->second.state->record().service == record.service) {
    const bool starts_leaving =
        record.leaving && !found->second.state->record().leaving;
    found->second.state->Update(std::move(record));
    if (starts_leaving) {
      this->on_unavailable(*found->second.state);
    }
    return;
  }
  if (found != this->by_id.end()) {
    this->Erase(std::string(record.id));
  }
  const std::string id = record.id;
  const std::string service = record.service;
  auto state = std::make_shared<UpstreamState>(std::move(record));
  this->by_service[service].push_back(state);
  this->by_id[id] = {std::move(state), Instant()};
}

auto UpstreamDirectory::Remove(std::string_view id, Instant now) -> void {
  const auto found = this->by_id.find(std::string(id));
  if (found == this->by_id.end()) {
    return;
  }
  if (now < this->suspect_until && !found->second.state->record().leaving) {
    if (!found->second.state->is_suspect()) {
      found->second.state->SetSuspect(true);
      found->second.removed_at = this->suspect_until;
    }
    return;
  }
  this->Erase(found->first);
}

auto UpstreamDirectory::RemoveAllExcept(const std::set<std::string>& ids,
                                        Instant now) -> void {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->by_id) {
    if (!ids.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->Remove(id, now);
  }
}

auto UpstreamDirectory::RecordLogRecovery(Instant now) -> void {
  this->suspect_until = now + kGracePeriod;
}

auto UpstreamDirectory::Expire(Instant now) -> void {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : this->by_id) {
    if (entry.state->is_suspect() && now >= entry.removed_at) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    this->Erase(id);
  }
}

auto UpstreamDirectory::Erase(const std::string& id) -> void {
  const auto found = this->by_id.find(id);
  const State state = found->second.state;
  this->by_id.erase(found);
  std::erase(this->by_service[state->record().service], state);
  state->MarkRemoved();
  this->on_unavailable(*state);
}

//==============================================================================
// Queries

auto UpstreamDirectory::UpstreamsOfService(std::string_view service) const
    -> std::span<const State> {
  const auto found = this->by_service.find(std::string(service));
  return found == this->by_service.end()
             ? std::span<const State>()
             : std::span<const State>(found->second);
}

}  // namespace auburnloft::gateway

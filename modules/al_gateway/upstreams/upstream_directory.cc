#include "al_gateway/upstreams/upstream_directory.h"

#include <utility>

namespace auburnloft::gateway {

namespace {

/** Entries that lapsed while the log was away are back within about this time
   after its return, if their upstream is alive. */
constexpr Duration kReturnPeriod = std::chrono::milliseconds(2'200);

}  // namespace

//==============================================================================
// Commands

auto UpstreamDirectory::Put(UpstreamRecord record) -> void {
  const auto found = this->by_id.find(record.id);
  if (found != this->by_id.end() &&
      found->second.state->record().service == record.service) {
    const bool leaves =
        record.leaving && !found->second.state->record().leaving;
    found->second.state->Update(std::move(record));
    if (leaves) {
      this->left(*found->second.state);
    }
    return;
  }
  if (found != this->by_id.end()) {
    this->Drop(std::string(record.id));
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
  if (now < this->doubt_until && !found->second.state->record().leaving) {
    if (!found->second.state->is_suspect()) {
      found->second.state->SetSuspect(true);
      found->second.gone_at = this->doubt_until;
    }
    return;
  }
  this->Drop(found->first);
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
  this->doubt_until = now + kReturnPeriod;
}

auto UpstreamDirectory::Expire(Instant now) -> void {
  std::vector<std::string> passed;
  for (const auto& [id, entry] : this->by_id) {
    if (entry.state->is_suspect() && now >= entry.gone_at) {
      passed.push_back(id);
    }
  }
  for (const std::string& id : passed) {
    this->Drop(id);
  }
}

auto UpstreamDirectory::Drop(const std::string& id) -> void {
  const auto found = this->by_id.find(id);
  const State state = found->second.state;
  this->by_id.erase(found);
  std::erase(this->by_service[state->record().service], state);
  state->MarkRemoved();
  this->left(*state);
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

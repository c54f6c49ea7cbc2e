#include "al_gateway/upstreams/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Grace period after an outage of the log. Records that expired during the
   outage return within about this time if their upstream still runs. */
constexpr Duration kGracePeriod = std::chrono::milliseconds(2'200);

/** Notices are dropped after this time, far above the time for which a leaving
   upstream still serves, and only if there are many. */
constexpr Duration kNoticeLifetime = std::chrono::minutes(10);
constexpr std::size_t kMaxNotices = 1'024;

}  // namespace

//==============================================================================
// Commands

auto UpstreamDirectory::Put(UpstreamRecord record) -> void {
  this->KeepDrain(record);
  const auto found = this->by_id.find(record.id);
  if (found != this->by_id.end() &&
      found->second.state->record().service == record.service) {
    const bool starts_leaving =
        record.leaving && !found->second.state->record().leaving;
    found->second.state->Update(std::move(record));
    this->ApplyDomain(*found->second.state);
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
  this->ApplyDomain(*state);
  const auto notice = this->notices.find(id);
  if (notice != this->notices.end() &&
      notice->second.started_at_ms == state->record().started_at_ms) {
    ApplyNotice(notice->second, *state);
  }
  this->by_service[service].push_back(state);
  this->by_id[id] = {std::move(state), Instant()};
}

auto UpstreamDirectory::ApplyDomain(UpstreamState& upstream) -> void {
  const std::string& domain = upstream.record().domain;
  upstream.SetEvacuated(this->evacuated_domains.contains(domain));
  const auto region = this->region_of_domain.find(domain);
  upstream.SetRegion(region == this->region_of_domain.end() ? std::string()
                                                            : region->second);
}

auto UpstreamDirectory::KeepDrain(UpstreamRecord& record) -> void {
  const auto known = this->draining.find(record.id);
  const bool was_draining =
      known != this->draining.end() && known->second == record.started_at_ms;
  if (was_draining) {
    record.leaving = true;
  } else if (record.leaving) {
    if (known == this->draining.end()) {
      this->draining_order.push_back(record.id);
    }
    this->draining[record.id] = record.started_at_ms;
    if (this->draining.size() > kMaxNotices) {
      // Drains are over long before this many others have begun.
      this->draining.erase(this->draining_order.front());
      this->draining_order.pop_front();
    }
  }
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

auto UpstreamDirectory::SetEvacuated(const std::string& domain,
                                     bool is_evacuated) -> std::vector<State> {
  if (is_evacuated) {
    this->evacuated_domains.insert(domain);
  } else {
    this->evacuated_domains.erase(domain);
  }
  std::vector<State> concerned = this->UpstreamsOfDomain(domain);
  for (const State& upstream : concerned) {
    upstream->SetEvacuated(is_evacuated);
  }
  return concerned;
}

auto UpstreamDirectory::RecordLeaving(const UpstreamState& upstream,
                                      Instant now) -> bool {
  const UpstreamProcess process = upstream.record().process();
  Notice& notice = this->NoticeOf(process, now);
  if (std::exchange(notice.leaving, true)) {
    return false;
  }
  if (const State listed = this->FindProcess(process)) {
    const bool was_serving = listed->is_serving();
    ApplyNotice(notice, *listed);
    if (was_serving) {
      this->on_unavailable(*listed);
    }
  }
  return true;
}

auto UpstreamDirectory::RecordBackOff(const UpstreamState& upstream,
                                      Instant until,
                                      Instant now) -> bool {
  const UpstreamProcess process = upstream.record().process();
  Notice& notice = this->NoticeOf(process, now);
  if (until <= notice.back_off_until) {
    return false;
  }
  notice.back_off_until = until;
  if (const State listed = this->FindProcess(process)) {
    ApplyNotice(notice, *listed);
  }
  return true;
}

auto UpstreamDirectory::GetLimiter(const UpstreamProcess& upstream, Instant now)
    -> std::shared_ptr<SendLimiter> {
  const auto known = this->notices.find(upstream.id);
  const auto listed = this->by_id.find(upstream.id);
  if ((known != this->notices.end() &&
       known->second.started_at_ms > upstream.started_at_ms) ||
      (listed != this->by_id.end() &&
       listed->second.state->record().started_at_ms > upstream.started_at_ms)) {
    return nullptr;
  }
  Notice& notice = this->NoticeOf(upstream, now);
  if (notice.limiter == nullptr) {
    notice.limiter = std::make_shared<SendLimiter>();
    if (const State state = this->FindProcess(upstream)) {
      ApplyNotice(notice, *state);
    }
  }
  return notice.limiter;
}

auto UpstreamDirectory::RemoveLimiter(const UpstreamProcess& upstream,
                                      Instant now) -> void {
  const auto known = this->notices.find(upstream.id);
  if (known == this->notices.end() ||
      known->second.started_at_ms != upstream.started_at_ms ||
      known->second.limiter == nullptr) {
    return;
  }
  known->second.limiter = nullptr;
  known->second.noticed_at = now;
  if (const State state = this->FindProcess(upstream)) {
    ApplyNotice(known->second, *state);
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

auto UpstreamDirectory::NoticeOf(const UpstreamProcess& upstream, Instant now)
    -> Notice& {
  if (this->notices.size() >= kMaxNotices) {
    std::erase_if(this->notices, [now](const auto& item) {
      return now - item.second.noticed_at >= kNoticeLifetime;
    });
  }
  Notice& notice = this->notices[upstream.id];
  if (notice.started_at_ms != upstream.started_at_ms) {
    notice = {};
    notice.started_at_ms = upstream.started_at_ms;
  }
  notice.noticed_at = now;
  return notice;
}

auto UpstreamDirectory::ApplyNotice(const Notice& notice,
                                    UpstreamState& upstream) -> void {
  if (notice.leaving) {
    upstream.MarkLeaving();
  }
  upstream.SetBackOff(notice.back_off_until);
  upstream.SetLimiter(notice.limiter);
}

auto UpstreamDirectory::FindProcess(const UpstreamProcess& upstream) const
    -> State {
  const auto found = this->by_id.find(upstream.id);
  return found != this->by_id.end() &&
                 found->second.state->record().started_at_ms ==
                     upstream.started_at_ms
             ? found->second.state
             : nullptr;
}

//==============================================================================
// Queries

auto UpstreamDirectory::UpstreamsOfDomain(std::string_view domain) const
    -> std::vector<State> {
  std::vector<State> found;
  for (const auto& [id, entry] : this->by_id) {
    if (entry.state->record().domain == domain) {
      found.push_back(entry.state);
    }
  }
  return found;
}

auto UpstreamDirectory::FindRecord(const std::string& id) const
    -> const UpstreamRecord* {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &found->second.state->record();
}

auto UpstreamDirectory::Contains(const UpstreamProcess& upstream) const
    -> bool {
  return this->FindProcess(upstream) != nullptr;
}

auto UpstreamDirectory::EarliestReturn(std::string_view service,
                                       Instant now) const
    -> std::optional<Instant> {
  std::optional<Instant> earliest;
  for (const State& upstream : this->UpstreamsOfService(service)) {
    if (!upstream->is_serving() || upstream->is_evacuated()) {
      continue;
    }
    const Instant returns_at = upstream->ReturnsAt(now);
    if (returns_at <= now) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(returns_at), returns_at);
  }
  return earliest;
}

auto UpstreamDirectory::UpstreamsOfService(std::string_view service) const
    -> std::span<const State> {
  const auto found = this->by_service.find(std::string(service));
  return found == this->by_service.end()
             ? std::span<const State>()
             : std::span<const State>(found->second);
}

}  // namespace auburnloft::gateway

#include "al_gateway/upstreams/cold_upstreams.h"

#include <algorithm>
#include <utility>

#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/upstream_record.h"
#include "al_gateway/upstreams/upstream_limits.h"
#include "al_gateway/upstreams/upstream_state.h"

namespace auburnloft::gateway {

namespace {

/** Ends of a warm-up that consecutive records name differ by the age of the
   records: an upstream writes one each second, and readers read it each 0.4 s.
 */
constexpr Duration kRecordJitter = std::chrono::milliseconds(1'500);

}  // namespace

ColdUpstreams::ColdUpstreams(UpstreamLimits& limits,
                             RuleOf rule_of,
                             OnCold on_cold)
    : limits(limits),
      rule_of(std::move(rule_of)),
      on_cold(std::move(on_cold)) {}

//==============================================================================
// Commands

auto ColdUpstreams::RecordWarmUp(const UpstreamRecord& upstream, Instant now)
    -> void {
  if (upstream.warm_up_left <= Duration(0)) {
    return;
  }
  Entry& entry = this->EntryOf(upstream);
  const Instant ended_at = entry.ends_at();
  const Instant told = now + upstream.warm_up_left;
  // The earliest end that is told is the nearest to the upstream's own.
  const bool is_repeated = now < entry.record_ends_at &&
                           told <= entry.record_ends_at + kRecordJitter;
  entry.record_ends_at =
      is_repeated ? std::min(told, entry.record_ends_at) : told;
  this->Apply(upstream.process(), entry, ended_at, Reason::kRecord, now);
}

auto ColdUpstreams::RecordEvacuationEnd(
    std::span<const std::shared_ptr<UpstreamState>> upstreams,
    Instant now) -> void {
  for (const auto& upstream : upstreams) {
    const UpstreamRecord& record = upstream->record();
    const Duration period = this->PeriodOf(record.service);
    if (period <= Duration(0)) {
      continue;
    }
    Entry& entry = this->EntryOf(record);
    const Instant ended_at = entry.ends_at();
    entry.assumed_ends_at = now + period;
    this->Apply(record.process(), entry, ended_at, Reason::kEvacuationEnded,
                now);
  }
}

auto ColdUpstreams::RecordUnreachable(const UpstreamRecord& upstream,
                                      Instant now) -> void {
  const Duration period = this->PeriodOf(upstream.service);
  if (period <= Duration(0)) {
    return;
  }
  Entry& entry = this->EntryOf(upstream);
  const Instant ended_at = entry.ends_at();
  entry.unreachable_at = now;
  if (this->IsOwnConnectionAtFault(upstream.domain, now)) {
    this->ClearUnreachable(now);
    return;
  }
  entry.awaits_response = true;
  entry.assumed_ends_at = std::max(entry.assumed_ends_at, now + period);
  this->Apply(upstream.process(), entry, ended_at, Reason::kUnreachable, now);
}

auto ColdUpstreams::RecordResponse(const UpstreamProcess& upstream, Instant now)
    -> void {
  const auto found = this->entries.find(upstream);
  if (found == this->entries.end() || !found->second.awaits_response) {
    return;
  }
  Entry& entry = found->second;
  const Instant ended_at = entry.ends_at();
  entry.awaits_response = false;
  entry.assumed_ends_at = now + this->PeriodOf(entry.service);
  this->Apply(upstream, entry, ended_at, Reason::kUnreachable, now);
}

auto ColdUpstreams::Update(Instant now) -> void {
  std::erase_if(this->entries, [now](const auto& item) {
    const Instant last =
        std::max(item.second.ends_at(), item.second.unreachable_at);
    return now - last >= kMemory;
  });
  for (const auto& [upstream, entry] : this->entries) {
    if (now < entry.ends_at()) {
      this->limits.SetTemporary(upstream, this->RateOf(entry.service),
                                entry.ends_at(), now);
    }
  }
}

auto ColdUpstreams::EntryOf(const UpstreamRecord& upstream) -> Entry& {
  Entry& entry = this->entries[upstream.process()];
  entry.service = upstream.service;
  entry.domain = upstream.domain;
  return entry;
}

auto ColdUpstreams::Apply(const UpstreamProcess& upstream,
                          Entry& entry,
                          Instant ended_at,
                          Reason reason,
                          Instant now) -> void {
  const bool was_cold = now < ended_at;
  const double rate = this->RateOf(entry.service);
  this->limits.SetTemporary(upstream, rate, entry.ends_at(), now);
  if (was_cold) {
    return;
  }
  // The record tells late that the period has begun.
  entry.since =
      reason == Reason::kRecord
          ? std::min(now, entry.ends_at() - this->PeriodOf(entry.service))
          : now;
  this->on_cold(
      {upstream, entry.domain, reason, rate, entry.since, entry.ends_at()});
}

auto ColdUpstreams::ClearUnreachable(Instant now) -> void {
  for (auto& [upstream, entry] : this->entries) {
    if (entry.awaits_response) {
      entry.awaits_response = false;
      entry.assumed_ends_at = now;
      this->limits.SetTemporary(upstream, this->RateOf(entry.service),
                                entry.ends_at(), now);
    }
  }
}

//==============================================================================
// Queries

auto ColdUpstreams::WasColdAt(const UpstreamProcess& upstream, Instant at) const
    -> bool {
  const auto found = this->entries.find(upstream);
  return found != this->entries.end() && at >= found->second.since &&
         at < found->second.ends_at();
}

auto ColdUpstreams::CountCold(Instant now) const -> int {
  return static_cast<int>(std::ranges::count_if(
      this->entries,
      [now](const auto& item) { return now < item.second.ends_at(); }));
}

auto ColdUpstreams::IsOwnConnectionAtFault(std::string_view domain,
                                           Instant now) const -> bool {
  return std::ranges::any_of(this->entries, [&](const auto& item) {
    return item.second.domain != domain &&
           now - item.second.unreachable_at < kSameFault;
  });
}

auto ColdUpstreams::PeriodOf(std::string_view service) const -> Duration {
  const ServiceRule* const rule = this->rule_of(service);
  return rule == nullptr ? Duration(0) : rule->warm_up;
}

auto ColdUpstreams::RateOf(std::string_view service) const -> double {
  const ServiceRule* const rule = this->rule_of(service);
  return rule == nullptr ? 0.0 : rule->warm_up_per_second;
}

}  // namespace auburnloft::gateway

#include "al_gateway/upstreams/evacuation_table.h"

#include <utility>
#include <vector>

namespace auburnloft::gateway {

EvacuationTable::EvacuationTable(OnChange on_change)
    : on_change(std::move(on_change)) {}

//==============================================================================
// Commands

auto EvacuationTable::Put(std::string_view domain) -> void {
  this->Begin(domain, Source::kLog);
}

auto EvacuationTable::Remove(std::string_view domain, Instant now) -> void {
  this->End(std::string(domain), Source::kLog, now);
}

auto EvacuationTable::SetListed(const std::set<std::string>& domains,
                                Instant now) -> void {
  this->Apply(domains, Source::kLog, now);
}

auto EvacuationTable::ApplyFromReader(const std::set<std::string>& domains,
                                      Instant now) -> void {
  this->Apply(domains, Source::kReader, now);
}

auto EvacuationTable::RecordLogRecovery(Instant now) -> void {
  this->grace_ends_at = now + kGracePeriod;
}

auto EvacuationTable::Expire(Instant now) -> void {
  std::vector<std::string> ended;
  for (const auto& [domain, ends_at] : this->by_domain) {
    if (ends_at && now >= *ends_at) {
      ended.push_back(domain);
    }
  }
  for (const std::string& domain : ended) {
    this->by_domain.erase(domain);
    this->on_change({domain, false, Source::kLog});
  }
}

auto EvacuationTable::Apply(const std::set<std::string>& domains,
                            Source source,
                            Instant now) -> void {
  this->known = true;
  std::vector<std::string> missing;
  for (const auto& [domain, ends_at] : this->by_domain) {
    if (!domains.contains(domain)) {
      missing.push_back(domain);
    }
  }
  for (const std::string& domain : missing) {
    this->End(domain, source, now);
  }
  for (const std::string& domain : domains) {
    this->Begin(domain, source);
  }
}

auto EvacuationTable::Begin(std::string_view domain, Source source) -> void {
  const auto found = this->by_domain.find(domain);
  if (found != this->by_domain.end()) {
    found->second.reset();
    return;
  }
  if (this->by_domain.size() >= kMaxDomains) {
    return;
  }
  this->by_domain.emplace(domain, std::nullopt);
  this->on_change({std::string(domain), true, source});
}

auto EvacuationTable::End(const std::string& domain, Source source, Instant now)
    -> void {
  const auto found = this->by_domain.find(domain);
  if (found == this->by_domain.end()) {
    return;
  }
  if (now < this->grace_ends_at) {
    found->second = this->grace_ends_at;
    return;
  }
  this->by_domain.erase(found);
  this->on_change({domain, false, source});
}

//==============================================================================
// Queries

auto EvacuationTable::IsEvacuated(std::string_view domain) const -> bool {
  return this->by_domain.contains(domain);
}

auto EvacuationTable::Domains() const -> std::set<std::string> {
  std::set<std::string> domains;
  for (const auto& [domain, ends_at] : this->by_domain) {
    domains.insert(domain);
  }
  return domains;
}

}  // namespace auburnloft::gateway

#include "al_ledger/fold/team_claims.h"

namespace auburnloft {

namespace {

auto HasFinalOutcome(wire::OutcomeState state) -> bool {
  return state == wire::OUTCOME_RAN || state == wire::OUTCOME_NOT_RUN;
}

}  // namespace

auto TeamClaims::Apply(const wire::Claim& entry, std::int64_t oldest_ms)
    -> wire::Verdict {
  if (entry.request_key().empty() || entry.run_id().empty()) {
    return wire::VERDICT_MALFORMED;
  }
  if (entry.issued_at_ms() < oldest_ms) {
    return wire::VERDICT_TOO_OLD;
  }
  wire::ClaimState& claim = this->claims[RequestKey(entry.request_key())];
  if (claim.run_id() == entry.run_id()) {
    return wire::VERDICT_REPEATED;
  }
  if (!claim.run_id().empty() && claim.state() != wire::OUTCOME_NOT_RUN) {
    return wire::VERDICT_CLAIMED;
  }
  claim.Clear();
  claim.set_request_key(entry.request_key());
  claim.set_run_id(entry.run_id());
  claim.set_holder(entry.holder());
  claim.set_issued_at_ms(entry.issued_at_ms());
  return wire::VERDICT_VALID;
}

auto TeamClaims::Apply(const wire::Outcome& entry) -> wire::Verdict {
  const auto found = this->claims.find(RequestKey(entry.request_key()));
  if (found == this->claims.end() || found->second.run_id() != entry.run_id()) {
    return wire::VERDICT_STALE;
  }
  wire::ClaimState& claim = found->second;
  if (HasFinalOutcome(claim.state())) {
    return claim.state() == entry.state() ? wire::VERDICT_REPEATED
                                          : wire::VERDICT_STALE;
  }
  claim.set_state(entry.state());
  claim.set_http_status(entry.http_status());
  claim.set_content_type(entry.content_type());
  claim.set_body(entry.body());
  return wire::VERDICT_VALID;
}

auto TeamClaims::Apply(const wire::Resolve& entry) -> wire::Verdict {
  if (entry.reason().empty() || !HasFinalOutcome(entry.state())) {
    return wire::VERDICT_MALFORMED;
  }
  const auto found = this->claims.find(RequestKey(entry.request_key()));
  if (found == this->claims.end()) {
    return wire::VERDICT_STALE;
  }
  wire::ClaimState& claim = found->second;
  if (claim.state() != wire::OUTCOME_UNKNOWN) {
    return claim.state() == entry.state() ? wire::VERDICT_REPEATED
                                          : wire::VERDICT_STALE;
  }
  claim.set_state(entry.state());
  claim.set_author(entry.author());
  claim.set_reason(entry.reason());
  return wire::VERDICT_VALID;
}

auto TeamClaims::PruneEnded(std::int64_t oldest_ms) -> void {
  std::erase_if(this->claims, [oldest_ms](const auto& claim) {
    return claim.second.issued_at_ms() < oldest_ms &&
           HasFinalOutcome(claim.second.state());
  });
}

auto TeamClaims::Load(const wire::TeamSnapshot& snapshot) -> void {
  this->claims.clear();
  for (const wire::ClaimState& claim : snapshot.claims()) {
    this->claims.emplace(RequestKey(claim.request_key()), claim);
  }
}

auto TeamClaims::Find(const RequestKey& key) const -> const wire::ClaimState* {
  const auto found = this->claims.find(key);
  return found == this->claims.end() ? nullptr : &found->second;
}

auto TeamClaims::Save(wire::TeamSnapshot& snapshot) const -> void {
  for (const auto& [key, claim] : this->claims) {
    *snapshot.add_claims() = claim;
  }
}

}  // namespace auburnloft

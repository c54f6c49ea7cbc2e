#include "al_gateway/admission/pressure_admission.h"

#include <algorithm>
#include <cmath>

namespace auburnloft::gateway {

namespace {

/** A first event is of use up to this multiple of the route's latency
   objective. Estimates are this inexact even where nothing is queued: engines
   are slower by more than half for a part of a second (docs/design/README.md,
   part 3). */
constexpr double kUsefulMultiple = 1.25;

/** Callers abandon a stream without an event after this multiple of the
   objective: as FirstEventTimeout(). Nothing is begun that late. */
constexpr double kAbandonedMultiple = 4.0;

/** Fraction of late first events above which more is refused. On calm days 13
   of 100 are late (docs/design/README.md, part 3). Trials with 0.1 refused
   requests under the usual load (docs/design/admission.md). */
constexpr double kLateTarget = 0.2;

/** Growth of the refused fraction per second, for all first events late. A
   crowd of 2.5 times the usual load needs 0.6, reached in about a second. */
constexpr double kShedPerSecond = 0.8;

/** Shrinking of the refused fraction relative to its growth. With 0.5, more was
   refused for as long and less was served in time (docs/design/admission.md).
 */
constexpr double kRelaxFactor = 1.0;

/** Some requests always pass, so that an end of the pressure is noticed. */
constexpr double kMaxShed = 0.9;

/** Below this refused fraction the service is not under pressure. */
constexpr double kMinShed = 0.02;

/** First events in time that are assumed before any was observed: one late
   event of a router with few requests is no pressure. */
constexpr double kAssumedInTime = 1.0;

/** The objective of urgent requests counts for this long after the last one. */
constexpr Duration kUrgentFor = std::chrono::seconds(10);

/** A longer time without a decision says nothing about the load meanwhile. */
constexpr double kMaxStepSeconds = 0.5;

/** Weight of the newest first event in the learned bias, and the time constant
   of its decay: both as of the excess latency of UpstreamState. */
constexpr double kBiasWeight = 0.2;
constexpr double kBiasDecaySeconds = 5.0;

/** A request that gives way waits for up to this part of its objective, if the
   rest suffices for its first event. */
constexpr double kWaitFraction = 0.3;

/** Retry-After of requests that no place is foreseen for: by then, requests
   of the kind that occupies the engines have ended (kUnavailableRetryAfter). */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(300);

/** After a longer wait, the caller's own deadline is more likely to have passed
   than the pressure is to continue. */
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

/** Callers return within this part of the wait after its end. */
constexpr double kSpreadFraction = 0.5;

/** Fraction of what is begun that counts as capacity even if all first events
   are late: with less, all teams seem far over their shares. */
constexpr double kMinUseful = 0.7;

/** Refusals that are remembered: those of 20 seconds at 200 a second, in less
   than 200 KB. */
constexpr std::size_t kMaxRemembered = 4'000;

/** All teams have the same weight: the configuration has none. */
constexpr double kTeamWeight = 1.0;

constexpr int kLowestPriority = 9;

auto Scaled(Duration duration, double factor) -> Duration {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

auto RetryAfter(Duration wait, double spread) -> Duration {
  const Duration least = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  return least + Scaled(least, kSpreadFraction * spread);
}

auto ClassesOf(const AdmissionQuery& query) -> MinimumShares::Classes {
  return {query.kind, query.team, query.size};
}

auto CostOf(const AdmissionQuery& query) -> double {
  return static_cast<double>(std::max<std::uint64_t>(1, query.size));
}

/** Returns the place of a request in the order in which requests give way: the
   lowest one first. Teams far over their share come first, then the least
   urgent requests, of these first those of teams over their share, of these
   first new ones. */
auto BandOrder(const AdmissionQuery& query,
               const TeamShares::Share& share,
               bool has_returned) -> int {
  constexpr int kOthers = 100;  // Above all of teams far over their share.
  const int urgency =
      kLowestPriority - std::clamp(query.priority, 0, kLowestPriority);
  if (share.is_far_over && !share.is_within) {
    return urgency;
  }
  return kOthers + 4 * urgency + (share.is_within ? 2 : 0) +
         (has_returned ? 1 : 0);
}

}  // namespace

//==============================================================================
// Commands

auto PressureAdmission::Decide(const AdmissionQuery& query, Instant now)
    -> AdmissionDecision {
  Service& service = this->ServiceOf(query.service, now);
  const Return return_kind = this->ReturnOf(query, now);
  if (service.shed >= kMinShed && return_kind == Return::kEarly) {
    AdmissionDecision early;
    early.action = AdmissionDecision::Action::kRefuse;
    early.reason = "back early";
    early.expected = ExpectedOf(service, query, now);
    early.retry_after =
        std::max(kMinRetryAfter, this->told_times.at(query.identity) - now);
    return early;
  }
  service.minimum_shares.RecordSeen(ClassesOf(query), now);
  service.teams.RecordDemand(query.team, CostOf(query), kTeamWeight, now);
  service.urgencies[query.priority] = {query.objective, now};
  AdmissionDecision decision;
  decision.expected = ExpectedOf(service, query, now);
  const bool is_starved =
      service.minimum_shares.IsStarved(ClassesOf(query), now);
  if (decision.expected > Scaled(query.objective, kUsefulMultiple)) {
    // What can't begin in time is pressure as much as what began too late.
    service.events.Add(1.0, now);
    service.late_events.Add(1.0, now);
    if (is_starved &&
        decision.expected < Scaled(query.objective, kAbandonedMultiple)) {
      return Begin(service, query, decision, "minimum share", now);
    }
    decision.action = AdmissionDecision::Action::kRefuse;
    decision.reason = "too late";
    decision.retry_after =
        RetryAfter(decision.expected - query.objective, query.spread);
    this->RememberRefusal(query, decision, now);
    return decision;
  }
  if (service.shed < kMinShed) {
    return Begin(service, query, decision, "in time", now);
  }
  const TeamShares::Share share =
      service.teams.ShareOf(query.team, UsefulFraction(service, now), now);
  decision.team_share = share.per_second;
  const int order = BandOrder(query, share, return_kind == Return::kInTime);
  Band& band = service.bands[order];
  band.seen.Add(1.0, now);
  band.credit = std::min(1.0, band.credit) + PassFraction(service, order, now);
  if (band.credit >= 1.0) {
    band.credit -= 1.0;
    return Begin(service, query, decision, "in time", now);
  }
  if (is_starved) {
    return Begin(service, query, decision, "minimum share", now);
  }
  decision = GiveWay(service, query, decision, share);
  this->RememberRefusal(query, decision, now);
  return decision;
}

auto PressureAdmission::DecideAgain(const AdmissionQuery& query, Instant now)
    -> AdmissionDecision {
  Service& service = this->ServiceOf(query.service, now);
  AdmissionDecision decision;
  decision.expected = ExpectedOf(service, query, now);
  const TeamShares::Share share =
      service.teams.ShareOf(query.team, UsefulFraction(service, now), now);
  decision.team_share = share.per_second;
  if (decision.expected <= query.objective &&
      (service.shed < kMinShed ||
       PassFraction(service, BandOrder(query, share, false), now) >= 1.0)) {
    return Begin(service, query, decision, "after a wait", now);
  }
  decision = GiveWay(service, query, decision, share);
  this->RememberRefusal(query, decision, now);
  return decision;
}

auto PressureAdmission::RecordOverdue(const AdmissionQuery& query, Instant now)
    -> void {
  Service& service = this->ServiceOf(query.service, now);
  service.events.Add(1.0, now);
  service.late_events.Add(1.0, now);
}

auto PressureAdmission::RecordFirstEvent(const AdmissionQuery& query,
                                         Duration latency,
                                         bool was_overdue,
                                         Instant now) -> void {
  Service& service = this->ServiceOf(query.service, now);
  if (!was_overdue) {
    service.events.Add(1.0, now);
    if (query.waited + latency > LateAfter(service, query, now)) {
      service.late_events.Add(1.0, now);
    }
  }
  Bias& bias = service.biases[query.priority];
  const double before =
      bias.seconds *
      std::exp(-ToSeconds(now - bias.updated_at) / kBiasDecaySeconds);
  bias.seconds =
      before + kBiasWeight * (ToSeconds(latency - query.expected) - before);
  bias.updated_at = now;
}

//==============================================================================
// Queries

auto PressureAdmission::ShedFraction(std::string_view service, Instant now)
    -> double {
  return this->ServiceOf(service, now).shed;
}

auto PressureAdmission::ReturnOf(const AdmissionQuery& query, Instant now) const
    -> Return {
  const auto found = this->told_times.find(query.identity);
  if (query.identity == 0 || found == this->told_times.end()) {
    return Return::kNone;
  }
  return now < found->second ? Return::kEarly : Return::kInTime;
}

auto PressureAdmission::RememberRefusal(const AdmissionQuery& query,
                                        const AdmissionDecision& decision,
                                        Instant now) -> void {
  if (query.identity == 0 ||
      decision.action != AdmissionDecision::Action::kRefuse) {
    return;
  }
  if (this->told_times.size() >= kMaxRemembered) {
    std::erase_if(this->told_times, [now](const auto& item) {
      return now - item.second > kMaxRetryAfter;
    });
  }
  if (this->told_times.size() < kMaxRemembered) {
    this->told_times[query.identity] = now + decision.retry_after;
  }
}

auto PressureAdmission::ServiceOf(std::string_view name, Instant now)
    -> Service& {
  auto found = this->services.find(name);
  if (found == this->services.end()) {
    found = this->services.try_emplace(std::string(name)).first;
    found->second.updated_at = now;
  }
  UpdateShed(found->second, now);
  return found->second;
}

auto PressureAdmission::LateFraction(const Service& service, Instant now)
    -> double {
  return service.late_events.At(now) /
         (service.events.At(now) + kAssumedInTime);
}

auto PressureAdmission::UsefulFraction(const Service& service, Instant now)
    -> double {
  return std::max(kMinUseful, 1.0 - LateFraction(service, now));
}

auto PressureAdmission::LateAfter(const Service& service,
                                  const AdmissionQuery& query,
                                  Instant now) -> Duration {
  for (const auto& [priority, urgency] : service.urgencies) {
    if (now - urgency.seen_at < kUrgentFor) {
      return std::min(urgency.objective, query.objective);
    }
  }
  return query.objective;
}

auto PressureAdmission::UpdateShed(Service& service, Instant now) -> void {
  const double passed =
      std::clamp(ToSeconds(now - service.updated_at), 0.0, kMaxStepSeconds);
  service.updated_at = now;
  const double excess = LateFraction(service, now) - kLateTarget;
  const double before = service.shed;
  service.shed =
      std::clamp(service.shed + passed * kShedPerSecond * excess *
                                    (excess > 0.0 ? 1.0 / (1.0 - kLateTarget)
                                                  : kRelaxFactor / kLateTarget),
                 0.0, kMaxShed);
  if (before < kMinShed && service.shed >= kMinShed) {
    service.teams.Refill();
  }
  if (service.shed < kMinShed) {
    service.minimum_shares.Expire(now);
  }
}

auto PressureAdmission::PassFraction(const Service& service,
                                     int order,
                                     Instant now) -> double {
  double total = 0.0;
  for (const auto& [key, band] : service.bands) {
    total += band.seen.At(now);
  }
  double to_shed = service.shed * total;
  for (const auto& [key, band] : service.bands) {
    const double seen = band.seen.At(now);
    if (key == order) {
      return seen <= 0.0 ? 1.0 : 1.0 - std::clamp(to_shed / seen, 0.0, 1.0);
    }
    to_shed -= seen;
  }
  return to_shed > 0.0 ? 0.0 : 1.0;
}

auto PressureAdmission::ExpectedOf(const Service& service,
                                   const AdmissionQuery& query,
                                   Instant now) -> Duration {
  constexpr double kMicrosPerSecond = 1e6;
  Duration expected = query.expected;
  const auto found = service.biases.find(query.priority);
  if (found != service.biases.end()) {
    const Bias& bias = found->second;
    expected += Duration(static_cast<std::int64_t>(
        bias.seconds * kMicrosPerSecond *
        std::exp(-ToSeconds(now - bias.updated_at) / kBiasDecaySeconds)));
  }
  return query.waited + std::max(Duration(0), expected);
}

auto PressureAdmission::Begin(Service& service,
                              const AdmissionQuery& query,
                              AdmissionDecision decision,
                              std::string_view reason,
                              Instant now) -> AdmissionDecision {
  service.minimum_shares.RecordBegun(ClassesOf(query), now);
  service.teams.RecordBegun(query.team, CostOf(query), now);
  decision.action = AdmissionDecision::Action::kBegin;
  decision.reason = reason;
  return decision;
}

auto PressureAdmission::GiveWay(const Service& service,
                                const AdmissionQuery& query,
                                AdmissionDecision decision,
                                const TeamShares::Share& share)
    -> AdmissionDecision {
  decision.reason = share.is_within ? "more urgent first" : "team share";
  if (query.waited < Scaled(query.objective, kWaitFraction) &&
      decision.expected < query.objective) {
    decision.action = AdmissionDecision::Action::kWait;
    return decision;
  }
  decision.action = AdmissionDecision::Action::kRefuse;
  // By then the refused fraction has fallen to 0 if nothing is late any more.
  constexpr double kMicrosPerSecond = 1e6;
  const auto until_calm = Duration(static_cast<std::int64_t>(
      service.shed / (kShedPerSecond * kRelaxFactor) * kMicrosPerSecond));
  decision.retry_after =
      RetryAfter(std::max(share.until_within, until_calm), query.spread);
  return decision;
}

}  // namespace auburnloft::gateway

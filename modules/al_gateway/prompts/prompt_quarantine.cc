#include "al_gateway/prompts/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** A failure counts when the other routers have had the time to read about it
   and to report successes: twice the 250 ms until a report is written and the
   400 ms until it is read. */
constexpr Duration kSettlingTime = std::chrono::milliseconds(1'300);

/** Time until the first trial: longer than engines take to start again. Each
   failed trial multiplies it. */
constexpr Duration kFirstQuarantine = std::chrono::seconds(30);
constexpr int kQuarantineFactor = 4;
constexpr int kMaxFailedTrials = 4;

/** A trial without a result by then was lost, or its caller left. */
constexpr Duration kTrialTimeout = std::chrono::seconds(10);

/** After the end of its quarantine, a part that got no trial is released. */
constexpr Duration kReleaseWithoutTrial = std::chrono::minutes(10);

/** Minimum interval between evaluations of other routers' reports, which all
   arrive at the same time after a crash, and of failures that settle. */
constexpr Duration kReportEvaluationInterval = std::chrono::milliseconds(50);
constexpr Duration kSettlingEvaluationInterval = std::chrono::milliseconds(200);

/** Retry-After while a trial is due or under way, or the evidence is settling.
 */
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

/** Bounds of a prompt that is tracked, and of a report. A part with a longer id
   is ignored. */
constexpr std::size_t kMaxParts = 8;
constexpr std::size_t kMaxPartBytes = 64;
constexpr std::size_t kMaxReported = 64;

/** Returns the ids of the parts that are tracked. The last part of a prompt is
   not: it belongs to one request or session, while others share the rest. */
auto TrackedParts(std::span<const PromptPart> parts)
    -> std::vector<std::string> {
  const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
  std::vector<std::string> tracked;
  for (const PromptPart& part : parts.first(std::min(shared, kMaxParts))) {
    if (part.id.size() <= kMaxPartBytes) {
      tracked.push_back(part.id);
    }
  }
  return tracked;
}

auto QuarantineDuration(int failed_trials) -> Duration {
  Duration duration = kFirstQuarantine;
  for (int i = 0; i < std::min(failed_trials, kMaxFailedTrials); ++i) {
    duration *= kQuarantineFactor;
  }
  return duration;
}

}  // namespace

PromptQuarantine::PromptQuarantine(std::string self, OnChange on_change)
    : self(std::move(self)), on_change(std::move(on_change)) {}

//==============================================================================
// Commands

auto PromptQuarantine::RecordSuccess(std::span<const PromptPart> parts,
                                     Instant now) -> void {
  bool releases = false;
  for (const std::string& part : TrackedParts(parts)) {
    this->evidence.RecordOwnSuccess(part, now);
    releases = releases || this->by_part.contains(part);
  }
  if (releases) {
    this->Evaluate(now);
  }
}

auto PromptQuarantine::RecordFailure(const std::string& upstream,
                                     std::span<const PromptPart> parts,
                                     Instant now) -> void {
  PromptReport::Failure failure{upstream, TrackedParts(parts), now};
  if (failure.parts.empty()) {
    return;
  }
  this->evidence.AddFailure(this->self, std::move(failure));
  this->has_news = true;
  this->Evaluate(now);
}

auto PromptQuarantine::Apply(const PromptReport& report, Instant now) -> void {
  if (report.reporter == this->self) {
    return;
  }
  this->evidence.ReplaceFailures(report.reporter, report.failures);
  for (const PromptReport::Success& success : report.successes) {
    this->evidence.RecordReportedSuccess(success.part, success.at);
  }
  this->AdoptQuarantines(report, now);
  this->has_new_evidence = true;
}

auto PromptQuarantine::Update(Instant now) -> void {
  const Duration passed = now - this->evaluated_at;
  const bool is_settling =
      passed >= kSettlingEvaluationInterval &&
      this->evidence.NewestFailure() >= this->evaluated_at - kSettlingTime;
  if (is_settling ||
      (this->has_new_evidence && passed >= kReportEvaluationInterval)) {
    this->Evaluate(now);
  }
  std::erase_if(this->by_part, [this, now](const auto& item) {
    const bool expired = now >= item.second.ends_at + kReleaseWithoutTrial;
    if (expired) {
      this->on_change({Change::Kind::kExpired,
                       item.first,
                       0,
                       0,
                       now - item.second.failed_at,
                       Duration(0),
                       {}});
    }
    return expired;
  });
}

auto PromptQuarantine::BeginTrial(const std::string& part, Instant now)
    -> void {
  if (const auto found = this->by_part.find(part);
      found != this->by_part.end()) {
    found->second.trial_began_at = now;
  }
}

auto PromptQuarantine::TakeReport(bool only_news, Instant now)
    -> std::optional<PromptReport> {
  this->Update(now);
  this->UpdateReportedSuccesses(now);
  if (only_news && !this->has_news) {
    return std::nullopt;
  }
  PromptReport report = this->MakeReport(now);
  this->has_news = false;
  if (report == this->last_report) {
    return std::nullopt;
  }
  this->last_report = report;
  return report;
}

//==============================================================================
// Queries

auto PromptQuarantine::Check(std::span<const PromptPart> parts,
                             const RunsTrials& runs_trials,
                             Instant now) const -> Decision {
  if (this->by_part.empty() && this->held_until.empty()) {
    return {};
  }
  Decision decision;
  for (const std::string& part : TrackedParts(parts)) {
    const auto held = this->held_until.find(part);
    if (held != this->held_until.end() && now < held->second) {
      return {false, part, false, std::max(kMinRetryAfter, held->second - now)};
    }
    const auto found = this->by_part.find(part);
    if (found == this->by_part.end()) {
      continue;
    }
    const State& state = found->second;
    const bool is_trial = now >= state.ends_at &&
                          now - state.trial_began_at >= kTrialTimeout &&
                          decision.part.empty() && runs_trials(part);
    decision.part = part;
    decision.is_trial = is_trial;
    decision.is_allowed = is_trial;
    decision.retry_after =
        is_trial ? Duration(0) : std::max(kMinRetryAfter, state.ends_at - now);
    if (!is_trial) {
      return decision;
    }
  }
  return decision;
}

auto PromptQuarantine::MayRetry(std::span<const PromptPart> parts) const
    -> bool {
  const std::vector<std::string> tracked = TrackedParts(parts);
  return std::ranges::none_of(tracked, [this](const std::string& part) {
    return this->by_part.contains(part) || this->held_until.contains(part);
  });
}

auto PromptQuarantine::quarantines() const
    -> std::vector<PromptReport::Quarantine> {
  std::vector<PromptReport::Quarantine> listed;
  for (const auto& [part, state] : this->by_part) {
    listed.push_back(
        {part, state.failed_at, state.ends_at, state.failed_trials});
  }
  return listed;
}

//==============================================================================

auto PromptQuarantine::KnownParts() const -> std::set<std::string> {
  std::set<std::string> parts;
  for (const auto& [part, state] : this->by_part) {
    parts.insert(part);
  }
  return parts;
}

auto PromptQuarantine::Evaluate(Instant now) -> void {
  this->evaluated_at = now;
  this->has_new_evidence = false;
  this->evidence.Expire(now);
  this->ApplyTrialFailures(now);
  this->ReleaseByEvidence(now);
  this->QuarantineSuspects(now);
  this->HoldBackUnconfirmed();
}

auto PromptQuarantine::ApplyTrialFailures(Instant now) -> void {
  for (auto& [part, state] : this->by_part) {
    const auto last = this->evidence.LastFailure(part);
    if (!last || *last <= state.failed_at) {
      continue;
    }
    state.failed_at = *last;
    if (*last < state.ends_at) {
      continue;  // It was sent before the quarantine.
    }
    state.failed_trials = std::min(state.failed_trials + 1, kMaxFailedTrials);
    state.ends_at = *last + QuarantineDuration(state.failed_trials);
    state.trial_began_at = Instant();
    this->has_news = true;
    this->on_change({Change::Kind::kTrialFailed,
                     part,
                     0,
                     0,
                     now - *last,
                     state.ends_at - now,
                     {}});
  }
}

auto PromptQuarantine::ReleaseByEvidence(Instant now) -> void {
  std::erase_if(this->by_part, [this, now](const auto& item) {
    const auto& [part, state] = item;
    const Instant success = this->evidence.LastSuccess(part);
    if (success <= state.failed_at) {
      return false;
    }
    this->reported_successes[part] = success;
    this->has_news = true;
    this->on_change(
        {Change::Kind::kReleased, part, 0, 0, now - success, Duration(0), {}});
    return true;
  });
}

auto PromptQuarantine::QuarantineSuspects(Instant now) -> void {
  while (this->by_part.size() < kMaxReported) {
    const auto suspect =
        this->evidence.FindSuspect(this->KnownParts(), now - kSettlingTime);
    if (!suspect) {
      return;
    }
    const Duration duration = QuarantineDuration(0);
    this->by_part[suspect->part] = {suspect->last_at, now + duration, 0, {}};
    this->has_news = true;
    this->on_change({Change::Kind::kQuarantined,
                     suspect->part,
                     suspect->upstreams,
                     suspect->reporters,
                     now - suspect->first_at,
                     duration,
                     {}});
  }
}

auto PromptQuarantine::HoldBackUnconfirmed() -> void {
  this->held_until.clear();
  for (const PromptEvidence::Suspect& suspect :
       this->evidence.FindUnconfirmed(this->KnownParts())) {
    this->held_until[suspect.part] = suspect.last_at + kSettlingTime;
  }
}

auto PromptQuarantine::AdoptQuarantines(const PromptReport& report, Instant now)
    -> void {
  for (const PromptReport::Quarantine& reported : report.quarantines) {
    const auto found = this->by_part.find(reported.part);
    const bool is_news =
        found == this->by_part.end()
            ? this->by_part.size() < kMaxReported
            : found->second.failed_trials < reported.failed_trials;
    if (!is_news ||
        this->evidence.LastSuccess(reported.part) > reported.failed_at ||
        now >= reported.ends_at + kReleaseWithoutTrial) {
      continue;
    }
    this->by_part[reported.part] = {
        reported.failed_at, reported.ends_at, reported.failed_trials, {}};
    this->has_news = true;
    this->on_change({Change::Kind::kAdopted, reported.part, 0, 0,
                     now - reported.failed_at, reported.ends_at - now,
                     report.reporter});
  }
}

auto PromptQuarantine::UpdateReportedSuccesses(Instant now) -> void {
  std::erase_if(this->reported_successes, [now](const auto& item) {
    return now - item.second >= PromptEvidence::kFailureLifetime;
  });
  for (const PromptReport::Success& success :
       this->evidence.FindSuccessesToReport(this->KnownParts())) {
    this->reported_successes[success.part] = success.at;
    this->evidence.RecordReportedSuccess(success.part, success.at);
    this->has_news = true;
  }
  while (this->reported_successes.size() > kMaxReported) {
    this->reported_successes.erase(
        std::ranges::min_element(this->reported_successes, {},
                                 [](const auto& item) { return item.second; }));
  }
}

auto PromptQuarantine::MakeReport(Instant now) -> PromptReport {
  this->evidence.Expire(now);
  PromptReport report;
  report.reporter = this->self;
  report.failures = this->evidence.FailuresOf(this->self);
  for (const auto& [part, at] : this->reported_successes) {
    report.successes.push_back({part, at});
  }
  report.quarantines = this->quarantines();
  return report;
}

}  // namespace auburnloft::gateway

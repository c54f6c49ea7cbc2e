#include "al_gateway/quarantine/crash_quarantine.h"

#include <algorithm>
#include <utility>

#include "al_gateway/quarantine/crash_suspects.h"

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
constexpr int kMaxTrials = 4;

/** Time until the first trial of a whole request that was at upstreams which
   may have ended for one other cause: one more send tells. Shorter than
   upstreams take to start again, so that no caller waits for it in vain. */
constexpr Duration kProbation = std::chrono::milliseconds(2'000);

/** Trials of a whole request within kWholeRequestLifetime: at most three more
   sends are allowed after the third crash, and one may be under way when that
   becomes known. */
constexpr int kMaxTrialsOfWholeRequest = 2;

/** A request that was at this many upstreams which ended is not repeated by
   the router: the next crash would be its third. */
constexpr int kMaxEndsBeforeRetry = 2;

/** How long it is remembered that an upstream has ended: far longer than its
   record lasts. */
constexpr Duration kEndMemory = std::chrono::minutes(1);

/** Ends of an upstream that are found within this time are one. */
constexpr Duration kMinLife = std::chrono::milliseconds(500);

/** Delay of the next trial after one that no upstream executed. */
constexpr Duration kTrialRetryDelay = std::chrono::seconds(1);

/** After the end of its quarantine, a part of prompts that got no trial is
   released. */
constexpr Duration kReleaseWithoutTrial = std::chrono::minutes(10);

/** Minimum interval between evaluations of other routers' reports, which all
   arrive at the same time after a crash, and of failures that settle. */
constexpr Duration kReportEvaluationInterval = std::chrono::milliseconds(50);
constexpr Duration kSettlingEvaluationInterval = std::chrono::milliseconds(200);

/** Retry-After while a trial is due or under way, or the evidence is settling.
 */
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

/** Maximum number of successes and of quarantines in a report. */
constexpr std::size_t kMaxReported = 64;

/** Stands between the name of a process that has ended and the number of the
   one that serves at its address since, whose record is not yet read. */
constexpr std::string_view kNextProcess = "+";

/** How reports name a process of an upstream. */
auto NameOf(const UpstreamProcess& upstream) -> std::string {
  return upstream.id + "@" + std::to_string(upstream.started_at_ms);
}

/** Returns how long a suspect is kept from upstreams after `trials` of it that
   did not succeed. */
auto QuarantineDuration(std::string_view suspect, int trials) -> Duration {
  if (IsWholeRequest(suspect) && trials >= kMaxTrialsOfWholeRequest) {
    return CrashEvidence::kWholeRequestLifetime;
  }
  Duration duration = kFirstQuarantine;
  for (int i = 0; i < std::min(trials, kMaxTrials); ++i) {
    duration *= kQuarantineFactor;
  }
  return duration;
}

/** Returns how long a suspect is kept from upstreams before its first trial. */
auto FirstQuarantine(const CrashEvidence::Assessment& culprit) -> Duration {
  return IsWholeRequest(culprit.suspect) && culprit.had_one_cause
             ? kProbation
             : QuarantineDuration(culprit.suspect, 0);
}

/** Returns how long after the end of its quarantine a suspect that got no trial
   is released: a whole request only when the bound on its sends has ended. */
auto ReleaseWithoutTrial(std::string_view suspect) -> Duration {
  return IsWholeRequest(suspect) ? CrashEvidence::kWholeRequestLifetime
                                 : kReleaseWithoutTrial;
}

}  // namespace

CrashQuarantine::CrashQuarantine(std::string self,
                                 OnChange on_change,
                                 OnWeighed on_weighed)
    : self(std::move(self)),
      on_change(std::move(on_change)),
      on_weighed(std::move(on_weighed)) {}

//==============================================================================
// Commands

auto CrashQuarantine::RecordSuccess(std::span<const std::string> suspects,
                                    Instant now) -> void {
  bool releases = false;
  for (const std::string& suspect : suspects) {
    const bool is_quarantined = this->by_suspect.contains(suspect);
    // Without a failure, the success of a whole request tells nothing, and
    // there are as many as requests.
    if (!IsWholeRequest(suspect) || is_quarantined ||
        this->evidence.HasFailed(suspect)) {
      this->evidence.RecordOwnSuccess(suspect, now);
    }
    releases = releases || is_quarantined;
  }
  if (releases) {
    this->Evaluate(now);
  }
}

auto CrashQuarantine::RecordFailure(const UpstreamProcess& upstream,
                                    std::span<const std::string> suspects,
                                    Instant sent_at,
                                    Instant now,
                                    std::string_view domain) -> void {
  if (suspects.empty()) {
    return;
  }
  this->evidence.AddFailure(this->self,
                            {this->NameAt(upstream, sent_at),
                             {suspects.begin(), suspects.end()},
                             now,
                             sent_at,
                             std::string(domain)},
                            CrashEvidence::Certainty::kPossible);
  this->Evaluate(now);
}

auto CrashQuarantine::DismissFailures(const UpstreamProcess& upstream,
                                      Instant since,
                                      Instant now) -> void {
  if (this->evidence.DropFailures(this->self, NameOf(upstream), since)) {
    this->has_news = true;
    this->Evaluate(now);
  }
}

auto CrashQuarantine::ConfirmEnd(const UpstreamProcess& upstream, Instant now)
    -> void {
  std::erase_if(this->ends, [now](const auto& item) {
    return now - item.second.last_at >= kEndMemory;
  });
  Ends& known = this->ends[NameOf(upstream)];
  if (known.count == 0 || now - known.last_at >= kMinLife) {
    ++known.count;
    known.last_at = now;
  }
  if (this->evidence.SetCertainty(this->self, NameOf(upstream),
                                  CrashEvidence::Certainty::kConfirmed)) {
    this->has_news = true;
    this->Evaluate(now);
  }
}

auto CrashQuarantine::DoubtEnd(const UpstreamProcess& upstream, Instant now)
    -> void {
  if (this->evidence.SetCertainty(this->self, NameOf(upstream),
                                  CrashEvidence::Certainty::kDoubted)) {
    this->Evaluate(now);
  }
}

auto CrashQuarantine::Apply(const CrashReport& report, Instant now) -> void {
  if (report.reporter == this->self) {
    return;
  }
  this->evidence.ReplaceFailures(report.reporter, report.failures);
  for (const CrashReport::Success& success : report.successes) {
    this->evidence.RecordReportedSuccess(success.suspect, success.at);
  }
  this->AdoptQuarantines(report, now);
  this->has_new_evidence = true;
}

auto CrashQuarantine::Update(Instant now) -> void {
  const Duration passed = now - this->evaluated_at;
  const bool is_settling =
      passed >= kSettlingEvaluationInterval &&
      this->evidence.newest_failure() >= this->evaluated_at - kSettlingTime;
  if (is_settling ||
      (this->has_new_evidence && passed >= kReportEvaluationInterval)) {
    this->Evaluate(now);
  }
  std::erase_if(this->by_suspect, [this, now](const auto& item) {
    const bool expired =
        now >= item.second.ends_at + ReleaseWithoutTrial(item.first);
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

auto CrashQuarantine::BeginTrial(const std::string& suspect, Instant now)
    -> void {
  if (const auto found = this->by_suspect.find(suspect);
      found != this->by_suspect.end()) {
    State& state = found->second;
    ++state.trials;
    state.trial_began_at = now;
    state.ends_at = now + QuarantineDuration(suspect, state.trials);
    this->has_news = true;
  }
}

auto CrashQuarantine::CancelTrial(const std::string& suspect, Instant now)
    -> void {
  if (const auto found = this->by_suspect.find(suspect);
      found != this->by_suspect.end() &&
      found->second.trial_began_at != Instant()) {
    State& state = found->second;
    --state.trials;
    state.trial_began_at = Instant();
    state.ends_at = now + kTrialRetryDelay;
  }
}

auto CrashQuarantine::TakeReport(bool only_news, Instant now)
    -> std::optional<CrashReport> {
  this->Update(now);
  this->UpdateReportedSuccesses(now);
  if (only_news && !this->has_news) {
    return std::nullopt;
  }
  CrashReport report = this->MakeReport(now);
  this->has_news = false;
  if (report == this->last_report) {
    return std::nullopt;
  }
  this->last_report = report;
  return report;
}

//==============================================================================
// Queries

auto CrashQuarantine::HadEnded(const UpstreamProcess& upstream,
                               Instant sent_at) const -> bool {
  const auto found = this->ends.find(NameOf(upstream));
  return found != this->ends.end() && sent_at >= found->second.last_at;
}

auto CrashQuarantine::NameAt(const UpstreamProcess& upstream,
                             Instant sent_at) const -> std::string {
  const std::string name = NameOf(upstream);
  return this->HadEnded(upstream, sent_at)
             ? name + std::string(kNextProcess) +
                   std::to_string(this->ends.at(name).count)
             : name;
}

auto CrashQuarantine::Check(std::span<const std::string> suspects,
                            const RunsTrials& runs_trials,
                            Instant now) const -> Decision {
  if (this->by_suspect.empty() && this->held_until.empty()) {
    return {};
  }
  Decision decision;
  for (const std::string& suspect : suspects) {
    const auto held = this->held_until.find(suspect);
    if (held != this->held_until.end() && now < held->second) {
      return {false, suspect, false,
              std::max(kMinRetryAfter, held->second - now)};
    }
    const auto found = this->by_suspect.find(suspect);
    if (found == this->by_suspect.end()) {
      continue;
    }
    const State& state = found->second;
    const bool is_trial = now >= state.ends_at && decision.suspect.empty() &&
                          runs_trials(suspect);
    decision.suspect = suspect;
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

auto CrashQuarantine::MayRetry(std::span<const std::string> suspects) const
    -> bool {
  return std::ranges::none_of(suspects, [this](const std::string& suspect) {
    return this->by_suspect.contains(suspect) ||
           this->held_until.contains(suspect) ||
           (IsWholeRequest(suspect) &&
            this->evidence.CountUpstreams(suspect) >= kMaxEndsBeforeRetry);
  });
}

auto CrashQuarantine::keeps_whole_requests() const -> bool {
  const auto is_whole = [](const auto& item) {
    return IsWholeRequest(item.first);
  };
  return std::ranges::any_of(this->by_suspect, is_whole) ||
         std::ranges::any_of(this->held_until, is_whole);
}

auto CrashQuarantine::awaits_success() const -> bool {
  return this->evidence.has_whole_requests() || this->keeps_whole_requests();
}

auto CrashQuarantine::quarantines() const
    -> std::vector<CrashReport::Quarantine> {
  std::vector<CrashReport::Quarantine> listed;
  for (const auto& [suspect, state] : this->by_suspect) {
    listed.push_back({suspect, state.failed_at, state.ends_at, state.trials});
  }
  return listed;
}

//==============================================================================

auto CrashQuarantine::KnownSuspects() const -> std::set<std::string> {
  std::set<std::string> suspects;
  for (const auto& [suspect, state] : this->by_suspect) {
    suspects.insert(suspect);
  }
  return suspects;
}

auto CrashQuarantine::Evaluate(Instant now) -> void {
  this->evaluated_at = now;
  this->has_new_evidence = false;
  this->evidence.Expire(now);
  this->ApplyTrialFailures(now);
  this->ReleaseByEvidence(now);
  this->QuarantineSuspects(now);
  this->HoldBackUnconfirmed();
  this->ReportWeighed(now);
}

auto CrashQuarantine::ReportWeighed(Instant now) -> void {
  if (!this->on_weighed) {
    return;
  }
  std::vector<CrashEvidence::Weighing> current =
      this->evidence.WeighSuspects(this->KnownSuspects(), now - kSettlingTime);
  for (const CrashEvidence::Weighing& weighing : current) {
    if (std::ranges::find(this->weighed, weighing) == this->weighed.end()) {
      this->on_weighed(weighing);
    }
  }
  this->weighed = std::move(current);
}

auto CrashQuarantine::ApplyTrialFailures(Instant now) -> void {
  for (auto& [suspect, state] : this->by_suspect) {
    const auto last = this->evidence.LastFailure(suspect);
    if (!last || *last <= state.failed_at) {
      continue;
    }
    state.failed_at = *last;
    const bool is_own_trial =
        state.trial_began_at != Instant() && *last >= state.trial_began_at;
    if (!is_own_trial && *last < state.ends_at) {
      continue;  // It was sent before the quarantine.
    }
    if (!is_own_trial) {
      ++state.trials;
      state.ends_at = *last + QuarantineDuration(suspect, state.trials);
    }
    state.trial_began_at = Instant();
    this->has_news = true;
    this->on_change({Change::Kind::kTrialFailed,
                     suspect,
                     0,
                     0,
                     now - *last,
                     state.ends_at - now,
                     {}});
  }
}

auto CrashQuarantine::ReleaseByEvidence(Instant now) -> void {
  std::erase_if(this->by_suspect, [this, now](const auto& item) {
    const auto& [suspect, state] = item;
    const Instant success = this->evidence.LastSuccess(suspect);
    if (success <= state.failed_at) {
      return false;
    }
    this->reported_successes[suspect] = success;
    this->has_news = true;
    this->on_change({Change::Kind::kReleased,
                     suspect,
                     0,
                     0,
                     now - success,
                     Duration(0),
                     {}});
    return true;
  });
}

auto CrashQuarantine::QuarantineSuspects(Instant now) -> void {
  while (this->by_suspect.size() < kMaxReported) {
    const auto culprit =
        this->evidence.FindCulprit(this->KnownSuspects(), now - kSettlingTime);
    if (!culprit) {
      return;
    }
    const Duration duration = FirstQuarantine(*culprit);
    this->by_suspect[culprit->suspect] = {
        culprit->last_at, now + duration, 0, {}};
    this->has_news = true;
    this->on_change({Change::Kind::kQuarantined,
                     culprit->suspect,
                     culprit->upstreams,
                     culprit->reporters,
                     now - culprit->first_at,
                     duration,
                     {}});
  }
}

auto CrashQuarantine::HoldBackUnconfirmed() -> void {
  this->held_until.clear();
  for (const CrashEvidence::Assessment& assessment :
       this->evidence.FindUnconfirmed(this->KnownSuspects())) {
    this->held_until[assessment.suspect] = assessment.last_at + kSettlingTime;
  }
}

auto CrashQuarantine::AdoptQuarantines(const CrashReport& report, Instant now)
    -> void {
  for (const CrashReport::Quarantine& reported : report.quarantines) {
    const auto found = this->by_suspect.find(reported.suspect);
    const bool is_news = found == this->by_suspect.end()
                             ? this->by_suspect.size() < kMaxReported
                             : found->second.trials < reported.trials;
    if (!is_news ||
        this->evidence.LastSuccess(reported.suspect) > reported.failed_at ||
        now >= reported.ends_at + ReleaseWithoutTrial(reported.suspect)) {
      continue;
    }
    this->by_suspect[reported.suspect] = {
        reported.failed_at, reported.ends_at, reported.trials, {}};
    this->has_news = true;
    this->on_change({Change::Kind::kAdopted, reported.suspect, 0, 0,
                     now - reported.failed_at, reported.ends_at - now,
                     report.reporter});
  }
}

auto CrashQuarantine::UpdateReportedSuccesses(Instant now) -> void {
  std::erase_if(this->reported_successes, [now](const auto& item) {
    return now - item.second >= CrashEvidence::kFailureLifetime;
  });
  for (const CrashReport::Success& success :
       this->evidence.FindSuccessesToReport(this->KnownSuspects())) {
    this->reported_successes[success.suspect] = success.at;
    this->evidence.RecordReportedSuccess(success.suspect, success.at);
    this->has_news = true;
  }
  while (this->reported_successes.size() > kMaxReported) {
    this->reported_successes.erase(
        std::ranges::min_element(this->reported_successes, {},
                                 [](const auto& item) { return item.second; }));
  }
}

auto CrashQuarantine::MakeReport(Instant now) -> CrashReport {
  this->evidence.Expire(now);
  CrashReport report;
  report.reporter = this->self;
  report.failures = this->evidence.FailuresOf(this->self);
  for (const auto& [suspect, at] : this->reported_successes) {
    report.successes.push_back({suspect, at});
  }
  report.quarantines = this->quarantines();
  return report;
}

}  // namespace auburnloft::gateway

#include "al_gateway/quarantine/crash_evidence.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

#include "al_gateway/quarantine/crash_suspects.h"

namespace auburnloft::gateway {

namespace {

/** A failure this soon after a success does not count. Reports of other routers
   arrive up to a second after what they tell, and a request that was sent
   before the success may fail after it for another reason. */
constexpr Duration kSuccessValidity = std::chrono::milliseconds(2'000);

/** A suspect of failures at two upstreams is a assessment, so routers report
   its successes, at most once in the interval. */
constexpr int kMinUpstreamsOfSuspect = 2;
constexpr Duration kReportedSuccessInterval = std::chrono::milliseconds(1'000);

/** Crashes from which on a suspect is quarantined, and upstreams from which on
   it is held back until then. Two may be chance: the upstream of a retry may
   crash for its own reasons. */
constexpr int kMinCrashes = 3;

/** Crashes within this time count once, as those of a rack do: a suspect that
   many requests share waits at several upstreams at any time. Other routers'
   reports are read each 400 ms, so that the times of what they tell vary by as
   much. */
constexpr Duration kSameTime = std::chrono::milliseconds(500);

/** More upstreams than those of a rack count although they crash together. */
constexpr int kMinUpstreamsAtSameTime = 5;

/** Upstreams of one failure domain that end within this time, and from how many
   on it is a loss of the domain. The window is the time of kSameTime, in which
   a domain loses its power, and the second by which reports of other routers
   are late. Two upstreams that end together may be chance. */
constexpr Duration kDomainLossTime = std::chrono::milliseconds(1'500);
constexpr std::size_t kMinUpstreamsOfDomainLoss = 3;

/** Time from one loss of a domain to the next: longer than upstreams take to
   start again. Ends in between have other causes. */
constexpr Duration kMinTimeBetweenDomainLosses = std::chrono::seconds(10);

/** The times of a failure are rounded to milliseconds in reports. */
constexpr Duration kRounding = std::chrono::milliseconds(2);

/** A part of prompts is at fault only if it was at one in this many of the
   crashes since its first. In a series of crashes that have another cause, each
   suspect is in some. */
constexpr int kMaxCrashesPerExplained = 4;

/** A suspect of requests that also hold a quarantined suspect is at fault only
   if it was at this many upstreams without that one. One may be chance. */
constexpr int kMinUpstreamsWithoutKnown = 2;

/** A possible failure that was not confirmed by then is dropped: an upstream's
   record expires within 4 s of its end. */
constexpr Duration kConfirmationTime = std::chrono::seconds(5);

/** Maximum number of failures of all routers: what 64 crashes of engines with
   16 waiting requests each leave behind. */
constexpr std::size_t kMaxFailures = 1'024;

/** Number of suspects from which old successes are dropped. */
constexpr std::size_t kMaxSuccesses = 4'096;

/** The time in which a request was at an upstream that ended. */
struct Stay {
  Instant sent_at{};
  Instant ended_at{};
};

using FirstFailures = std::map<std::string_view, Stay>;  ///< By upstream.

/** The collected failures of one suspect. */
struct Tally {
  FirstFailures upstreams;
  /** Those of `upstreams` at which a known suspect was in the same request. */
  std::map<std::string_view, std::set<std::string_view>> shared_with;
  std::set<std::string_view> reporters;
  std::size_t position = 0;  ///< The highest in a prompt.
  Instant last_at = Instant::min();
};

auto AddFirstFailure(FirstFailures& failures,
                     const CrashReport::Failure& failure) -> void {
  const Stay stay{failure.sent_at, failure.at};
  Stay& first = failures.try_emplace(failure.upstream, stay).first->second;
  if (stay.ended_at < first.ended_at) {
    first = stay;
  }
}

/** Returns the first failures in the order of their times. */
auto InOrder(const FirstFailures& upstreams) -> std::vector<Stay> {
  std::vector<Stay> stays;
  stays.reserve(upstreams.size());
  for (const auto& [upstream, stay] : upstreams) {
    stays.push_back(stay);
  }
  std::ranges::sort(stays, {}, &Stay::ended_at);
  return stays;
}

/** Counts crashes; one that may have the same cause as a counted one is left
   out: it is within kSameTime of it. A whole request that was sent only after
   the counted crash was no bystander of both, so that it counts at once.
    @param stays  in the order of their ends. */
auto CountCrashes(std::span<const Stay> stays, bool is_whole_request) -> int {
  int count = 0;
  Instant counted_at = Instant::min();
  for (const Stay& stay : stays) {
    const bool is_repetition =
        is_whole_request && stay.sent_at + kRounding >= counted_at;
    if (count == 0 || is_repetition ||
        stay.ended_at - counted_at >= kSameTime) {
      ++count;
      counted_at = stay.ended_at;
    }
  }
  return count;
}

/** Returns the most upstreams that one known suspect explains. */
auto CountExplained(const Tally& tally) -> int {
  std::size_t most = 0;
  for (const auto& [known, upstreams] : tally.shared_with) {
    most = std::max(most, upstreams.size());
  }
  return static_cast<int>(most);
}

/** Returns the upstreams at which a known suspect was in the same request. */
auto SharedUpstreams(const Tally& tally) -> std::set<std::string_view> {
  std::set<std::string_view> shared;
  for (const auto& [known, upstreams] : tally.shared_with) {
    shared.insert(upstreams.begin(), upstreams.end());
  }
  return shared;
}

/** @param crashes  of all upstreams that no known suspect explains, in their
                    order. */
auto Assess(std::string_view suspect,
            const Tally& tally,
            std::span<const Stay> crashes) -> CrashEvidence::Assessment {
  const std::vector<Stay> stays = InOrder(tally.upstreams);
  CrashEvidence::Assessment assessment;
  assessment.suspect = std::string(suspect);
  assessment.upstreams = static_cast<int>(stays.size());
  assessment.crashes = CountCrashes(stays, IsWholeRequest(suspect));
  assessment.first_at = stays.front().ended_at;
  assessment.last_at = tally.last_at;
  assessment.explained = CountExplained(tally);
  assessment.crashes_since_first =
      static_cast<int>(SharedUpstreams(tally).size()) +
      static_cast<int>(std::ranges::count_if(
          crashes, [first_at = assessment.first_at](const Stay& crash) {
            return crash.ended_at >= first_at;
          }));
  assessment.had_one_cause = assessment.crashes < kMinCrashes;
  assessment.reporters = static_cast<int>(tally.reporters.size());
  assessment.position = tally.position;
  return assessment;
}

/** Returns whether a suspect was at `count` upstreams without the known suspect
   that was in the same requests elsewhere. */
auto HasFailedWithoutKnown(const CrashEvidence::Assessment& assessment,
                           int count) -> bool {
  return assessment.explained == 0 ||
         assessment.upstreams - assessment.explained >= count;
}

auto IsConclusive(const CrashEvidence::Assessment& assessment) -> bool {
  if (!HasFailedWithoutKnown(assessment, kMinUpstreamsWithoutKnown)) {
    return false;
  }
  if (IsWholeRequest(assessment.suspect)) {
    return assessment.upstreams >= kMinCrashes;
  }
  return (assessment.crashes >= kMinCrashes ||
          assessment.upstreams >= kMinUpstreamsAtSameTime) &&
         assessment.upstreams * kMaxCrashesPerExplained >=
             assessment.crashes_since_first;
}

auto Contains(const std::vector<std::string>& suspects,
              const std::set<std::string>& known) -> bool {
  return std::ranges::any_of(suspects, [&known](const std::string& suspect) {
    return known.contains(suspect);
  });
}

/** Returns the whole request of a failure; empty if it is not known. */
auto RequestOf(const CrashReport::Failure& failure) -> std::string_view {
  return !failure.suspects.empty() && IsWholeRequest(failure.suspects.back())
             ? std::string_view(failure.suspects.back())
             : std::string_view();
}

/** Returns those of `suspects` that are in `known`. */
auto KnownAmong(const std::vector<std::string>& suspects,
                const std::set<std::string>& known)
    -> std::vector<std::string_view> {
  std::vector<std::string_view> found;
  for (const std::string& suspect : suspects) {
    if (known.contains(suspect)) {
      found.push_back(suspect);
    }
  }
  return found;
}

}  // namespace

//==============================================================================
// Commands

auto CrashEvidence::AddFailure(std::string_view reporter,
                               CrashReport::Failure failure,
                               Certainty certainty) -> void {
  const auto of_reporter =
      std::ranges::count(this->failures, reporter, &Entry::reporter);
  if (static_cast<std::size_t>(of_reporter) >= kMaxFailuresOfReporter) {
    this->DropOne(reporter);
  }
  if (this->failures.size() >= kMaxFailures) {
    this->failures.pop_front();
  }
  this->newest_at = std::max(this->newest_at, failure.at);
  // Those of dropped failures go when Expire() collects all again.
  if (!failure.suspects.empty() && IsWholeRequest(failure.suspects.back())) {
    this->whole_requests.insert(failure.suspects.back());
  }
  this->failures.push_back(
      {std::string(reporter), std::move(failure), certainty});
}

auto CrashEvidence::DropOne(std::string_view reporter) -> void {
  const auto is_own = [reporter](const Entry& entry) {
    return entry.reporter == reporter;
  };
  const auto failed_elsewhere = [this](const Entry& entry) {
    return std::ranges::any_of(this->failures, [&entry](const Entry& other) {
      return other.failure.upstream != entry.failure.upstream &&
             !entry.failure.suspects.empty() &&
             Contains(other.failure.suspects, {entry.failure.suspects.back()});
    });
  };
  const auto found =
      std::ranges::find_if(this->failures, [&](const Entry& entry) {
        return is_own(entry) && !failed_elsewhere(entry);
      });
  this->failures.erase(found != this->failures.end()
                           ? found
                           : std::ranges::find_if(this->failures, is_own));
}

auto CrashEvidence::SetCertainty(std::string_view reporter,
                                 std::string_view upstream,
                                 Certainty certainty) -> bool {
  bool has_changed = false;
  for (Entry& entry : this->failures) {
    if (entry.reporter == reporter &&
        entry.failure.upstream.starts_with(upstream) &&
        entry.certainty != Certainty::kConfirmed) {
      entry.certainty = certainty;
      has_changed = true;
    }
  }
  return has_changed;
}

auto CrashEvidence::DropFailures(std::string_view reporter,
                                 std::string_view upstream,
                                 Instant since) -> bool {
  const auto dropped = std::erase_if(this->failures, [&](const Entry& entry) {
    return entry.reporter == reporter && entry.failure.at >= since &&
           entry.failure.upstream.starts_with(upstream);
  });
  if (dropped > 0) {
    this->UpdateWholeRequests();
  }
  return dropped > 0;
}

auto CrashEvidence::ReplaceFailures(
    std::string_view reporter,
    std::span<const CrashReport::Failure> failures) -> void {
  std::erase_if(this->failures, [reporter](const Entry& entry) {
    return entry.reporter == reporter;
  });
  for (const CrashReport::Failure& failure : failures) {
    this->AddFailure(reporter, failure, Certainty::kConfirmed);
  }
}

auto CrashEvidence::RecordOwnSuccess(std::string_view suspect, Instant at)
    -> void {
  this->RecordSuccess(suspect, &Successes::own, at);
}

auto CrashEvidence::RecordReportedSuccess(std::string_view suspect, Instant at)
    -> void {
  this->RecordSuccess(suspect, &Successes::reported, at);
}

auto CrashEvidence::RecordSuccess(std::string_view suspect,
                                  Instant Successes::*kind,
                                  Instant at) -> void {
  const auto [found, is_new] =
      this->successes.try_emplace(std::string(suspect));
  found->second.*kind = std::max(found->second.*kind, at);
  if (!is_new || this->successes.size() <= kMaxSuccesses) {
    return;
  }
  std::erase_if(this->successes, [this, at](const auto& item) {
    return !this->whole_requests.contains(item.first) &&
           std::max(item.second.own, item.second.reported) <=
               at - kFailureLifetime;
  });
  if (this->successes.size() > kMaxSuccesses) {
    std::erase_if(this->successes, [this](const auto& item) {
      return !this->whole_requests.contains(item.first);
    });
  }
}

auto CrashEvidence::Expire(Instant now) -> void {
  std::erase_if(this->failures, [now](Entry& entry) {
    const Duration age = now - entry.failure.at;
    if (age >= kFailureLifetime) {
      std::erase_if(entry.failure.suspects, [](const std::string& suspect) {
        return !IsWholeRequest(suspect);
      });
    }
    const bool is_unconfirmed =
        entry.certainty != Certainty::kConfirmed && age >= kConfirmationTime;
    return entry.failure.suspects.empty() || age >= kWholeRequestLifetime ||
           is_unconfirmed;
  });
  this->UpdateWholeRequests();
}

auto CrashEvidence::UpdateWholeRequests() -> void {
  this->whole_requests.clear();
  for (const Entry& entry : this->failures) {
    if (!entry.failure.suspects.empty() &&
        IsWholeRequest(entry.failure.suspects.back())) {
      this->whole_requests.insert(entry.failure.suspects.back());
    }
  }
}

//==============================================================================
// Queries

auto CrashEvidence::FailuresOf(std::string_view reporter) const
    -> std::vector<CrashReport::Failure> {
  std::vector<CrashReport::Failure> found;
  for (const Entry& entry : this->failures) {
    if (entry.reporter == reporter &&
        entry.certainty == Certainty::kConfirmed) {
      found.push_back(entry.failure);
    }
  }
  return found;
}

auto CrashEvidence::LastFailure(std::string_view suspect) const
    -> std::optional<Instant> {
  std::optional<Instant> last;
  for (const Entry& entry : this->failures) {
    if (std::ranges::find(entry.failure.suspects, suspect) !=
        entry.failure.suspects.end()) {
      last = std::max(last.value_or(entry.failure.at), entry.failure.at);
    }
  }
  return last;
}

auto CrashEvidence::LastSuccess(std::string_view suspect) const -> Instant {
  const Successes last = this->SuccessesOf(suspect);
  return std::max(last.own, last.reported);
}

auto CrashEvidence::FindSuccessesToReport(const std::set<std::string>& known)
    const -> std::vector<CrashReport::Success> {
  std::vector<CrashReport::Success> found;
  for (const Assessment& assessment :
       this->AssessAll(known, {.cleared_by = ClearedBy::kReported})) {
    const Successes last = this->SuccessesOf(assessment.suspect);
    if (last.own < assessment.first_at - kSuccessValidity) {
      continue;  // It clears the suspect of nothing.
    }
    if (last.reported == Instant::min() ||
        last.own - last.reported >= kReportedSuccessInterval) {
      found.push_back({assessment.suspect, last.own});
    }
  }
  return found;
}

auto CrashEvidence::FindCulprit(const std::set<std::string>& known,
                                Instant until) const
    -> std::optional<Assessment> {
  const std::vector<Assessment> assessments =
      this->AssessAll(known, {.until = until, .only_confirmed = true});
  const auto found = std::ranges::find_if(assessments, IsConclusive);
  return found == assessments.end() ? std::nullopt : std::optional(*found);
}

auto CrashEvidence::FindUnconfirmed(const std::set<std::string>& known) const
    -> std::vector<Assessment> {
  std::vector<Assessment> assessments = this->AssessAll(known, {});
  std::erase_if(assessments, [](const Assessment& assessment) {
    return assessment.upstreams < kMinCrashes ||
           !HasFailedWithoutKnown(assessment, 1);
  });
  return assessments;
}

auto CrashEvidence::CountUpstreams(std::string_view suspect) const -> int {
  std::set<std::string_view> upstreams;
  const std::vector<bool> is_of_domain_loss = this->FindDomainLosses();
  for (std::size_t i = 0; i < this->failures.size(); ++i) {
    const Entry& entry = this->failures[i];
    const auto found = std::ranges::find(entry.failure.suspects, suspect);
    if (found != entry.failure.suspects.end() && !is_of_domain_loss[i] &&
        entry.certainty != Certainty::kDoubted &&
        this->Counts(*found, entry.failure.at, ClearedBy::kAll)) {
      upstreams.insert(entry.failure.upstream);
    }
  }
  return static_cast<int>(upstreams.size());
}

auto CrashEvidence::WeighSuspects(const std::set<std::string>& known,
                                  Instant until) const
    -> std::vector<Weighing> {
  // By suspect and upstream: the number that the upstream counts in.
  std::map<std::string_view, std::map<std::string_view, int Weighing::*>> kinds;
  // Of several failures at an upstream, the one that comes first here counts.
  constexpr std::array kOrder = {
      &Weighing::counted,   &Weighing::shared,         &Weighing::unconfirmed,
      &Weighing::explained, &Weighing::of_domain_loss, &Weighing::cleared};
  const std::set<std::string_view> explained = this->ExplainedUpstreams(known);
  const std::vector<bool> is_of_domain_loss = this->FindDomainLosses();
  for (std::size_t i = 0; i < this->failures.size(); ++i) {
    const Entry& entry = this->failures[i];
    const CrashReport::Failure& failure = entry.failure;
    if (failure.at > until) {
      continue;
    }
    const bool has_known = Contains(failure.suspects, known);
    for (const std::string& suspect : failure.suspects) {
      if (known.contains(suspect)) {
        continue;
      }
      int Weighing::*kind = has_known ? &Weighing::shared : &Weighing::counted;
      if (!this->Counts(suspect, failure.at, ClearedBy::kAll)) {
        kind = &Weighing::cleared;
      } else if (is_of_domain_loss[i]) {
        kind = &Weighing::of_domain_loss;
      } else if (!has_known && explained.contains(failure.upstream)) {
        kind = &Weighing::explained;
      } else if (entry.certainty != Certainty::kConfirmed) {
        kind = &Weighing::unconfirmed;
      }
      int Weighing::*& known_kind =
          kinds[suspect].try_emplace(failure.upstream, kind).first->second;
      if (std::ranges::find(kOrder, kind) <
          std::ranges::find(kOrder, known_kind)) {
        known_kind = kind;
      }
    }
  }
  std::vector<Weighing> weighed;
  for (const auto& [suspect, upstreams] : kinds) {
    Weighing weighing{.suspect = std::string(suspect)};
    for (const auto& [upstream, kind] : upstreams) {
      ++(weighing.*kind);
    }
    if (static_cast<int>(upstreams.size()) - weighing.cleared >= kMinCrashes) {
      weighed.push_back(std::move(weighing));
    }
  }
  return weighed;
}

auto CrashEvidence::ExplainedUpstreams(const std::set<std::string>& known) const
    -> std::set<std::string_view> {
  std::set<std::string_view> explained;
  for (const Entry& entry : this->failures) {
    if (Contains(entry.failure.suspects, known)) {
      explained.insert(entry.failure.upstream);
    }
  }
  return explained;
}

auto CrashEvidence::AssessAll(const std::set<std::string>& known,
                              const Scope& scope) const
    -> std::vector<Assessment> {
  const std::set<std::string_view> explained = this->ExplainedUpstreams(known);
  FirstFailures crashed;
  std::map<std::string_view, Tally> tallies;  // By suspect.
  const std::vector<bool> is_of_domain_loss = this->FindDomainLosses();
  for (std::size_t index = 0; index < this->failures.size(); ++index) {
    const Entry& entry = this->failures[index];
    const CrashReport::Failure& failure = entry.failure;
    const bool is_in_scope =
        !is_of_domain_loss[index] && failure.at <= scope.until &&
        entry.certainty != Certainty::kDoubted &&
        (!scope.only_confirmed || entry.certainty == Certainty::kConfirmed);
    const bool is_explained = explained.contains(failure.upstream);
    const std::vector<std::string_view> known_suspects =
        KnownAmong(failure.suspects, known);
    if (!is_in_scope || (is_explained && known_suspects.empty())) {
      continue;
    }
    if (!is_explained) {
      AddFirstFailure(crashed, failure);
    }
    for (std::size_t i = 0; i < failure.suspects.size(); ++i) {
      const std::string& suspect = failure.suspects[i];
      if (!known.contains(suspect) &&
          this->Counts(suspect, failure.at, scope.cleared_by)) {
        Tally& tally = tallies[suspect];
        AddFirstFailure(tally.upstreams, failure);
        for (const std::string_view other : known_suspects) {
          tally.shared_with[other].insert(failure.upstream);
        }
        tally.reporters.insert(entry.reporter);
        tally.position = std::max(tally.position, i);
        tally.last_at = std::max(tally.last_at, failure.at);
      }
    }
  }
  const std::vector<Stay> crashes = InOrder(crashed);
  std::vector<Assessment> assessments;
  for (const auto& [suspect, tally] : tallies) {
    if (static_cast<int>(tally.upstreams.size()) >= kMinUpstreamsOfSuspect) {
      assessments.push_back(Assess(suspect, tally, crashes));
    }
  }
  std::ranges::sort(assessments, {}, [this](const Assessment& assessment) {
    return std::tuple(-assessment.upstreams,
                      this->LastSuccess(assessment.suspect),
                      -static_cast<std::int64_t>(assessment.position));
  });
  return assessments;
}

auto CrashEvidence::FindDomainLosses() const -> std::vector<bool> {
  std::vector<bool> found(this->failures.size(), false);
  std::map<std::string_view, std::vector<std::size_t>> by_domain;
  for (std::size_t i = 0; i < this->failures.size(); ++i) {
    const Entry& entry = this->failures[i];
    if (!entry.failure.domain.empty() &&
        entry.certainty != Certainty::kDoubted) {
      by_domain[entry.failure.domain].push_back(i);
    }
  }
  const auto at = [this](std::size_t i) {
    return this->failures[i].failure.at;
  };
  for (auto& [domain, indices] : by_domain) {
    std::ranges::sort(indices, {}, at);
    std::optional<Instant> lost_at;
    for (auto first = indices.begin(); first != indices.end();) {
      const auto last = std::find_if(first, indices.end(), [&](std::size_t i) {
        return at(i) - at(*first) > kDomainLossTime;
      });
      std::set<std::string_view> upstreams;
      std::map<std::string_view, Instant> first_end_of;     // By reporter.
      std::map<std::string_view, Instant> first_end_under;  // By request.
      const auto waited_at_end = [&](const Entry& entry) {
        const CrashReport::Failure& failure = entry.failure;
        const auto request = first_end_under.find(RequestOf(failure));
        const bool is_repetition =
            request != first_end_under.end() && failure.at > request->second &&
            failure.sent_at + kRounding >= request->second;
        return !is_repetition &&
               failure.sent_at <= first_end_of.at(entry.reporter) + kRounding;
      };
      for (auto item = first; item != last; ++item) {
        const Entry& entry = this->failures[*item];
        first_end_of.try_emplace(entry.reporter, entry.failure.at);
        if (!RequestOf(entry.failure).empty()) {
          first_end_under.try_emplace(RequestOf(entry.failure),
                                      entry.failure.at);
        }
        if (waited_at_end(entry)) {
          upstreams.insert(entry.failure.upstream);
        }
      }
      const bool was_just_lost =
          lost_at && at(*first) - *lost_at < kMinTimeBetweenDomainLosses;
      if (was_just_lost || upstreams.size() < kMinUpstreamsOfDomainLoss) {
        ++first;
        continue;
      }
      lost_at = at(*first);
      for (auto item = first; item != last; ++item) {
        found[*item] = waited_at_end(this->failures[*item]);
      }
      first = last;
    }
  }
  return found;
}

auto CrashEvidence::Counts(const std::string& suspect,
                           Instant at,
                           ClearedBy cleared_by) const -> bool {
  const Instant cleared_at = cleared_by == ClearedBy::kReported
                                 ? this->SuccessesOf(suspect).reported
                                 : this->LastSuccess(suspect);
  return cleared_at < at - kSuccessValidity;
}

auto CrashEvidence::SuccessesOf(std::string_view suspect) const -> Successes {
  const auto found = this->successes.find(std::string(suspect));
  return found == this->successes.end() ? Successes() : found->second;
}

}  // namespace auburnloft::gateway

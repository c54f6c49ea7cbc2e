#include "al_gateway/quarantine/crash_evidence.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

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

/** A suspect is at fault only if it was at one in this many of the crashes
   since its first. In a series of crashes that have another cause, each suspect
   is in some. */
constexpr int kMaxCrashesPerExplained = 4;

/** Maximum number of failures of all routers: what 32 crashes of engines with
   16 waiting requests each leave behind. */
constexpr std::size_t kMaxFailures = 512;

/** Number of suspects from which old successes are dropped. */
constexpr std::size_t kMaxSuccesses = 4'096;

using FirstFailures = std::map<std::string_view, Instant>;  ///< By upstream.

/** The collected failures of one suspect. */
struct Tally {
  FirstFailures upstreams;
  std::set<std::string_view> reporters;
  std::size_t position = 0;  ///< The highest in a prompt.
  Instant last_at = Instant::min();
};

auto AddFirstFailure(FirstFailures& failures,
                     std::string_view upstream,
                     Instant at) -> void {
  Instant& first = failures.try_emplace(upstream, at).first->second;
  first = std::min(first, at);
}

/** Returns the times of the first failures in ascending order. */
auto CrashTimes(const FirstFailures& upstreams) -> std::vector<Instant> {
  std::vector<Instant> times;
  times.reserve(upstreams.size());
  for (const auto& [upstream, at] : upstreams) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

/** Counts crashes; those within kSameTime of a counted one are left out.
    @param times  in ascending order. */
auto CountCrashes(std::span<const Instant> times) -> int {
  int count = 0;
  Instant counted_at = Instant::min();
  for (const Instant at : times) {
    if (count == 0 || at - counted_at >= kSameTime) {
      ++count;
      counted_at = at;
    }
  }
  return count;
}

/** @param crash_times  of all upstreams, in ascending order. */
auto Assess(std::string_view suspect,
            const Tally& tally,
            std::span<const Instant> crash_times) -> CrashEvidence::Assessment {
  const std::vector<Instant> own_times = CrashTimes(tally.upstreams);
  CrashEvidence::Assessment assessment;
  assessment.suspect = std::string(suspect);
  assessment.upstreams = static_cast<int>(own_times.size());
  assessment.crashes = CountCrashes(own_times);
  assessment.first_at = own_times.front();
  assessment.last_at = tally.last_at;
  assessment.crashes_since_first =
      static_cast<int>(crash_times.end() -
                       std::lower_bound(crash_times.begin(), crash_times.end(),
                                        assessment.first_at));
  assessment.reporters = static_cast<int>(tally.reporters.size());
  assessment.position = tally.position;
  return assessment;
}

auto IsConclusive(const CrashEvidence::Assessment& assessment) -> bool {
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

}  // namespace

//==============================================================================
// Commands

auto CrashEvidence::AddFailure(std::string_view reporter,
                               CrashReport::Failure failure) -> void {
  const auto is_own = [reporter](const Entry& entry) {
    return entry.reporter == reporter;
  };
  if (static_cast<std::size_t>(std::ranges::count_if(this->failures, is_own)) >=
      kMaxFailuresOfReporter) {
    this->failures.erase(std::ranges::find_if(this->failures, is_own));
  }
  if (this->failures.size() >= kMaxFailures) {
    this->failures.pop_front();
  }
  this->failures.push_back({std::string(reporter), std::move(failure)});
}

auto CrashEvidence::ReplaceFailures(
    std::string_view reporter,
    std::span<const CrashReport::Failure> failures) -> void {
  std::erase_if(this->failures, [reporter](const Entry& entry) {
    return entry.reporter == reporter;
  });
  for (const CrashReport::Failure& failure : failures) {
    this->AddFailure(reporter, failure);
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
  std::erase_if(this->successes, [at](const auto& item) {
    return std::max(item.second.own, item.second.reported) <=
           at - kFailureLifetime;
  });
  if (this->successes.size() > kMaxSuccesses) {
    this->successes.clear();
  }
}

auto CrashEvidence::Expire(Instant now) -> void {
  std::erase_if(this->failures, [now](const Entry& entry) {
    return now - entry.failure.at >= kFailureLifetime;
  });
}

//==============================================================================
// Queries

auto CrashEvidence::FailuresOf(std::string_view reporter) const
    -> std::vector<CrashReport::Failure> {
  std::vector<CrashReport::Failure> found;
  for (const Entry& entry : this->failures) {
    if (entry.reporter == reporter) {
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
       this->AssessAll(known, Instant::max(), ClearedBy::kReported)) {
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
      this->AssessAll(known, until, ClearedBy::kAll);
  const auto found = std::ranges::find_if(assessments, IsConclusive);
  return found == assessments.end() ? std::nullopt : std::optional(*found);
}

auto CrashEvidence::FindUnconfirmed(const std::set<std::string>& known) const
    -> std::vector<Assessment> {
  std::vector<Assessment> assessments =
      this->AssessAll(known, Instant::max(), ClearedBy::kAll);
  std::erase_if(assessments, [](const Assessment& assessment) {
    return assessment.upstreams < kMinCrashes;
  });
  return assessments;
}

auto CrashEvidence::NewestFailure() const -> Instant {
  Instant newest = Instant::min();
  for (const Entry& entry : this->failures) {
    newest = std::max(newest, entry.failure.at);
  }
  return newest;
}

auto CrashEvidence::AssessAll(const std::set<std::string>& known,
                              Instant until,
                              ClearedBy cleared_by) const
    -> std::vector<Assessment> {
  const auto counts = [this, cleared_by](const std::string& suspect,
                                         Instant at) {
    const Instant cleared_at = cleared_by == ClearedBy::kReported
                                   ? this->SuccessesOf(suspect).reported
                                   : this->LastSuccess(suspect);
    return cleared_at < at - kSuccessValidity;
  };
  std::set<std::string_view> explained;
  for (const Entry& entry : this->failures) {
    if (Contains(entry.failure.suspects, known)) {
      explained.insert(entry.failure.upstream);
    }
  }
  FirstFailures crashed;
  std::map<std::string_view, Tally> tallies;  // By suspect.
  for (const Entry& entry : this->failures) {
    const CrashReport::Failure& failure = entry.failure;
    if (failure.at > until || explained.contains(failure.upstream)) {
      continue;
    }
    AddFirstFailure(crashed, failure.upstream, failure.at);
    for (std::size_t i = 0; i < failure.suspects.size(); ++i) {
      if (counts(failure.suspects[i], failure.at)) {
        Tally& tally = tallies[failure.suspects[i]];
        AddFirstFailure(tally.upstreams, failure.upstream, failure.at);
        tally.reporters.insert(entry.reporter);
        tally.position = std::max(tally.position, i);
        tally.last_at = std::max(tally.last_at, failure.at);
      }
    }
  }
  const std::vector<Instant> crash_times = CrashTimes(crashed);
  std::vector<Assessment> assessments;
  for (const auto& [suspect, tally] : tallies) {
    if (static_cast<int>(tally.upstreams.size()) >= kMinUpstreamsOfSuspect) {
      assessments.push_back(Assess(suspect, tally, crash_times));
    }
  }
  std::ranges::sort(assessments, {}, [this](const Assessment& assessment) {
    return std::tuple(-assessment.upstreams,
                      this->LastSuccess(assessment.suspect),
                      -static_cast<std::int64_t>(assessment.position));
  });
  return assessments;
}

auto CrashEvidence::SuccessesOf(std::string_view suspect) const -> Successes {
  const auto found = this->successes.find(std::string(suspect));
  return found == this->successes.end() ? Successes() : found->second;
}

}  // namespace auburnloft::gateway

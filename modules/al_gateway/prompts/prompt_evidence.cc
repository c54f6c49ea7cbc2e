#include "al_gateway/prompts/prompt_evidence.h"

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

/** A part of failures at two upstreams is a suspect, so routers report its
   successes, at most once in the interval. */
constexpr int kMinUpstreamsOfSuspect = 2;
constexpr Duration kReportedSuccessInterval = std::chrono::milliseconds(1'000);

/** Crashes from which on a part is quarantined, and upstreams from which on it
   is held back until then. Two may be chance: the upstream of a retry may crash
   for its own reasons. */
constexpr int kMinCrashes = 3;

/** Crashes within this time count once, as those of a rack do: a part that many
   requests share waits at several upstreams at any time. Other routers' reports
   are read each 400 ms, so that the times of what they tell vary by as much. */
constexpr Duration kSameTime = std::chrono::milliseconds(500);

/** More upstreams than those of a rack count although they crash together. */
constexpr int kMinUpstreamsAtSameTime = 5;

/** A part is at fault only if it was at one in this many of the crashes since
   its first. In a series of crashes that have another cause, each part is in
   some. */
constexpr int kMaxCrashesPerExplained = 4;

/** Maximum number of failures of all routers: what 32 crashes of engines with
   16 waiting requests each leave behind. */
constexpr std::size_t kMaxFailures = 512;

/** Number of parts from which old successes are dropped. */
constexpr std::size_t kMaxSuccesses = 4'096;

using FirstFailures = std::map<std::string_view, Instant>;  ///< By upstream.

/** The collected failures of one part. */
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
auto MakeSuspect(std::string_view part,
                 const Tally& tally,
                 std::span<const Instant> crash_times)
    -> PromptEvidence::Suspect {
  const std::vector<Instant> own_times = CrashTimes(tally.upstreams);
  PromptEvidence::Suspect suspect;
  suspect.part = std::string(part);
  suspect.upstreams = static_cast<int>(own_times.size());
  suspect.crashes = CountCrashes(own_times);
  suspect.first_at = own_times.front();
  suspect.last_at = tally.last_at;
  suspect.crashes_since_first =
      static_cast<int>(crash_times.end() - std::lower_bound(crash_times.begin(),
                                                            crash_times.end(),
                                                            suspect.first_at));
  suspect.reporters = static_cast<int>(tally.reporters.size());
  suspect.position = tally.position;
  return suspect;
}

auto IsConclusive(const PromptEvidence::Suspect& suspect) -> bool {
  return (suspect.crashes >= kMinCrashes ||
          suspect.upstreams >= kMinUpstreamsAtSameTime) &&
         suspect.upstreams * kMaxCrashesPerExplained >=
             suspect.crashes_since_first;
}

auto Contains(const std::vector<std::string>& parts,
              const std::set<std::string>& known) -> bool {
  return std::ranges::any_of(parts, [&known](const std::string& part) {
    return known.contains(part);
  });
}

}  // namespace

//==============================================================================
// Commands

auto PromptEvidence::AddFailure(std::string_view reporter,
                                PromptReport::Failure failure) -> void {
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

auto PromptEvidence::ReplaceFailures(
    std::string_view reporter,
    std::span<const PromptReport::Failure> failures) -> void {
  std::erase_if(this->failures, [reporter](const Entry& entry) {
    return entry.reporter == reporter;
  });
  for (const PromptReport::Failure& failure : failures) {
    this->AddFailure(reporter, failure);
  }
}

auto PromptEvidence::RecordOwnSuccess(std::string_view part, Instant at)
    -> void {
  this->RecordSuccess(part, &Successes::own, at);
}

auto PromptEvidence::RecordReportedSuccess(std::string_view part, Instant at)
    -> void {
  this->RecordSuccess(part, &Successes::reported, at);
}

auto PromptEvidence::RecordSuccess(std::string_view part,
                                   Instant Successes::*kind,
                                   Instant at) -> void {
  const auto [found, is_new] = this->successes.try_emplace(std::string(part));
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

auto PromptEvidence::Expire(Instant now) -> void {
  std::erase_if(this->failures, [now](const Entry& entry) {
    return now - entry.failure.at >= kFailureLifetime;
  });
}

//==============================================================================
// Queries

auto PromptEvidence::FailuresOf(std::string_view reporter) const
    -> std::vector<PromptReport::Failure> {
  std::vector<PromptReport::Failure> found;
  for (const Entry& entry : this->failures) {
    if (entry.reporter == reporter) {
      found.push_back(entry.failure);
    }
  }
  return found;
}

auto PromptEvidence::LastFailure(std::string_view part) const
    -> std::optional<Instant> {
  std::optional<Instant> last;
  for (const Entry& entry : this->failures) {
    if (std::ranges::find(entry.failure.parts, part) !=
        entry.failure.parts.end()) {
      last = std::max(last.value_or(entry.failure.at), entry.failure.at);
    }
  }
  return last;
}

auto PromptEvidence::LastSuccess(std::string_view part) const -> Instant {
  const Successes last = this->SuccessesOf(part);
  return std::max(last.own, last.reported);
}

auto PromptEvidence::FindSuccessesToReport(const std::set<std::string>& known)
    const -> std::vector<PromptReport::Success> {
  std::vector<PromptReport::Success> found;
  for (const Suspect& suspect :
       this->FindSuspects(known, Instant::max(), ClearedBy::kReported)) {
    const Successes last = this->SuccessesOf(suspect.part);
    if (last.own < suspect.first_at - kSuccessValidity) {
      continue;  // It clears the part of nothing.
    }
    if (last.reported == Instant::min() ||
        last.own - last.reported >= kReportedSuccessInterval) {
      found.push_back({suspect.part, last.own});
    }
  }
  return found;
}

auto PromptEvidence::FindSuspect(const std::set<std::string>& known,
                                 Instant until) const
    -> std::optional<Suspect> {
  const std::vector<Suspect> suspects =
      this->FindSuspects(known, until, ClearedBy::kAll);
  const auto found = std::ranges::find_if(suspects, IsConclusive);
  return found == suspects.end() ? std::nullopt : std::optional(*found);
}

auto PromptEvidence::FindUnconfirmed(const std::set<std::string>& known) const
    -> std::vector<Suspect> {
  std::vector<Suspect> suspects =
      this->FindSuspects(known, Instant::max(), ClearedBy::kAll);
  std::erase_if(suspects, [](const Suspect& suspect) {
    return suspect.upstreams < kMinCrashes;
  });
  return suspects;
}

auto PromptEvidence::NewestFailure() const -> Instant {
  Instant newest = Instant::min();
  for (const Entry& entry : this->failures) {
    newest = std::max(newest, entry.failure.at);
  }
  return newest;
}

auto PromptEvidence::FindSuspects(const std::set<std::string>& known,
                                  Instant until,
                                  ClearedBy cleared_by) const
    -> std::vector<Suspect> {
  const auto counts = [this, cleared_by](const std::string& part, Instant at) {
    const Instant cleared_at = cleared_by == ClearedBy::kReported
                                   ? this->SuccessesOf(part).reported
                                   : this->LastSuccess(part);
    return cleared_at < at - kSuccessValidity;
  };
  std::set<std::string_view> explained;
  for (const Entry& entry : this->failures) {
    if (Contains(entry.failure.parts, known)) {
      explained.insert(entry.failure.upstream);
    }
  }
  FirstFailures crashed;
  std::map<std::string_view, Tally> tallies;  // By part.
  for (const Entry& entry : this->failures) {
    const PromptReport::Failure& failure = entry.failure;
    if (failure.at > until || explained.contains(failure.upstream)) {
      continue;
    }
    AddFirstFailure(crashed, failure.upstream, failure.at);
    for (std::size_t i = 0; i < failure.parts.size(); ++i) {
      if (counts(failure.parts[i], failure.at)) {
        Tally& tally = tallies[failure.parts[i]];
        AddFirstFailure(tally.upstreams, failure.upstream, failure.at);
        tally.reporters.insert(entry.reporter);
        tally.position = std::max(tally.position, i);
        tally.last_at = std::max(tally.last_at, failure.at);
      }
    }
  }
  const std::vector<Instant> crash_times = CrashTimes(crashed);
  std::vector<Suspect> suspects;
  for (const auto& [part, tally] : tallies) {
    if (static_cast<int>(tally.upstreams.size()) >= kMinUpstreamsOfSuspect) {
      suspects.push_back(MakeSuspect(part, tally, crash_times));
    }
  }
  std::ranges::sort(suspects, {}, [this](const Suspect& suspect) {
    return std::tuple(-suspect.upstreams, this->LastSuccess(suspect.part),
                      -static_cast<std::int64_t>(suspect.position));
  });
  return suspects;
}

auto PromptEvidence::SuccessesOf(std::string_view part) const -> Successes {
  const auto found = this->successes.find(std::string(part));
  return found == this->successes.end() ? Successes() : found->second;
}

}  // namespace auburnloft::gateway

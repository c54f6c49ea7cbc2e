#ifndef AL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_
#define AL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/quarantine/crash_report.h"

namespace auburnloft::gateway {

/** Failures and successes of suspects (shared parts of prompts, and whole
   requests), of this router and of others, and which suspect explains the
   failures best. Used by CrashQuarantine.

    Failures at three or more upstreams of one failure domain at about the same
   time are those of a loss of the domain, such as its power: they are no
   evidence. Requests that were sent after their router had seen the first end
   there are no part of it, and neither are those that were sent again, at
   whatever router, after an upstream had ended under them there: a request that
   crashes one upstream after the other is sent to each but the first after an
   end. Shortly after a loss, more ends there are no second one.

    A suspect that crashes each upstream which begins to answer it never
   succeeds. So a success clears a suspect of all failures before it, and of
   those shortly after it, which may have happened before it.

    A quarantined suspect explains the ends of the upstreams at which it was, so
   that they are no evidence against other requests that waited there. They stay
   evidence against the other suspects of the same requests: a part that crashes
   upstreams is in many requests, any of which may be quarantined first. Such a
   part, unlike a sound part of one deadly request, also fails where the
   quarantined suspect was not.

    The size is bounded, whatever callers send.

    Thread safety: none; used on one thread.
*/
class CrashEvidence {
 public:
  /** A suspect, and the failures that count against it. */
  struct Assessment {
    std::string suspect;
    int upstreams = 0;  ///< That ended a request with the suspect.
    /** As above; the most at which one known suspect was in the same requests,
       and may be at fault instead. */
    int explained = 0;
    /** As above; those that one cause may have ended together count once. */
    int crashes = 0;
    bool had_one_cause = false;   ///< Possibly, such as the loss of a rack.
    int crashes_since_first = 0;  ///< Of upstreams, also without the suspect.
    int reporters = 0;            ///< Routers that reported the failures.
    std::size_t position = 0;     ///< Among a request's suspects; the highest.
    Instant first_at{};
    Instant last_at{};
  };

  /** The upstreams that ended, or may have ended, under a suspect, by whether
     and why not they count against it. Each is in one of the numbers, the first
     that fits. */
  struct Weighing {
    std::string suspect;
    int counted = 0;
    int shared = 0;       ///< Counted, in requests with a quarantined suspect.
    int unconfirmed = 0;  ///< It is not known that they have ended.
    int explained = 0;    ///< By a quarantined suspect of other requests.
    int of_domain_loss = 0;
    int cleared = 0;  ///< By a success of the suspect.

    auto operator==(const Weighing&) const -> bool = default;
  };

  /** Older failures tell nothing about parts of prompts. */
  static constexpr Duration kFailureLifetime = std::chrono::seconds(30);

  /** Older failures are dropped. A caller may repeat a request at any time of
     the day, and after three crashes it may reach upstreams three more times in
     all. */
  static constexpr Duration kWholeRequestLifetime = std::chrono::hours(24);

  /** Maximum number of failures of one router. */
  static constexpr std::size_t kMaxFailuresOfReporter = 32;

  //============================================================================
  // Commands

  /** Whether it is known that the upstream of a failure has ended. */
  enum class Certainty {
    kPossible,
    kDoubted,  ///< It accepts connections: it runs, or was quickly replaced.
    kConfirmed,
  };

  /** Adds a failure. Beyond the maximum, drops the reporter's oldest one whose
     request failed nowhere else. */
  auto AddFailure(std::string_view reporter,
                  CrashReport::Failure failure,
                  Certainty certainty) -> void;

  /** Sets how certain the reporter's failures at an upstream are, unless they
     are confirmed.
      @param upstream  how the name of the upstream begins.
      @return whether there are any. */
  auto SetCertainty(std::string_view reporter,
                    std::string_view upstream,
                    Certainty certainty) -> bool;

  /** Drops the reporter's failures at an upstream that happened at `since` or
     later.
      @param upstream  how the name of the upstream begins.
      @return whether there were any. */
  auto DropFailures(std::string_view reporter,
                    std::string_view upstream,
                    Instant since) -> bool;

  /** Replaces all failures of a reporter. */
  auto ReplaceFailures(std::string_view reporter,
                       std::span<const CrashReport::Failure> failures) -> void;

  /** Records a success at this router. */
  auto RecordOwnSuccess(std::string_view suspect, Instant at) -> void;

  /** Records a success that a router, perhaps this one, has reported. */
  auto RecordReportedSuccess(std::string_view suspect, Instant at) -> void;

  /** Drops what is too old: failures, what they tell about parts of prompts,
     and possible failures that were not confirmed in time. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the confirmed failures of `reporter` in the order in which they
     were added. */
  [[nodiscard]] auto FailuresOf(std::string_view reporter) const
      -> std::vector<CrashReport::Failure>;

  /** Returns when the last failure with `suspect` happened. */
  [[nodiscard]] auto LastFailure(std::string_view suspect) const
      -> std::optional<Instant>;

  /** Returns the last known success of `suspect`; Instant::min() if none. */
  [[nodiscard]] auto LastSuccess(std::string_view suspect) const -> Instant;

  /** Returns the last successes at this router that the other routers need to
     know: each clears a suspect of failures of at least two upstreams, and no
     success of the suspect was reported shortly before it. */
  [[nodiscard]] auto FindSuccessesToReport(const std::set<std::string>& known)
      const -> std::vector<CrashReport::Success>;

  /** Returns the suspect that explains the most failures, if it does so beyond
     doubt: a part of prompts was at three crashes at different times or at five
     upstreams, and at a good part of all crashes since; a whole request was at
     three upstreams.
     None of `known` is returned. What else waited at the upstreams which they
     ended does not count, and a suspect that was in the same requests as one of
     them has to have failed at two upstreams without it.
     Among equals, returns the suspect whose
     last success is the longest ago, then the one later in the prompt, which
     fewer requests share.
      @param until  later failures are left out. */
  [[nodiscard]] auto FindCulprit(const std::set<std::string>& known,
                                 Instant until) const
      -> std::optional<Assessment>;

  /** Returns the number of upstreams that ended, or may have ended, under a
     suspect since its last success. */
  [[nodiscard]] auto CountUpstreams(std::string_view suspect) const -> int;

  /** Returns whether a failure of the whole request `suspect` is known. */
  [[nodiscard]] auto HasFailed(const std::string& suspect) const -> bool {
    return this->whole_requests.contains(suspect);
  }

  /** Returns whether a failure of a whole request is known. */
  [[nodiscard]] auto has_whole_requests() const -> bool {
    return !this->whole_requests.empty();
  }

  /** Returns the suspects that were at three upstreams or more that ended a
     request with them, one at least without the suspect of `known` that was in
     the same requests elsewhere: they may be at fault. */
  [[nodiscard]] auto FindUnconfirmed(const std::set<std::string>& known) const
      -> std::vector<Assessment>;

  /** Weighs the failures of each suspect, without `known`, that was at three
     upstreams or more without a success; for the log.
      @param until  later failures are left out. */
  [[nodiscard]] auto WeighSuspects(const std::set<std::string>& known,
                                   Instant until) const
      -> std::vector<Weighing>;

  /** Returns when the newest failure happened; Instant::min() if there was
     none. */
  [[nodiscard]] auto newest_failure() const -> Instant {
    return this->newest_at;
  }

 private:
  struct Entry {
    std::string reporter;
    CrashReport::Failure failure;
    Certainty certainty = Certainty::kConfirmed;
  };

  /** The last successes of a suspect. */
  struct Successes {
    Instant own = Instant::min();       ///< At this router.
    Instant reported = Instant::min();  ///< In a report of any router.
  };
  /** Which successes clear a suspect. */
  enum class ClearedBy { kAll, kReported };

  /** Which failures are assessed. */
  struct Scope {
    Instant until = Instant::max();  ///< Later ones are left out.
    ClearedBy cleared_by = ClearedBy::kAll;
    bool only_confirmed = false;
  };

  /** Returns the upstreams that ended a request with one of `known` suspects.
   */
  [[nodiscard]] auto ExplainedUpstreams(
      const std::set<std::string>& known) const -> std::set<std::string_view>;

  auto RecordSuccess(std::string_view suspect,
                     Instant Successes::*kind,
                     Instant at) -> void;

  /** Returns the suspects, without `known`, in failures of two or more
     upstreams that count, in the order of FindCulprit(). */
  [[nodiscard]] auto AssessAll(const std::set<std::string>& known,
                               const Scope& scope) const
      -> std::vector<Assessment>;

  /** Returns whether no success clears a suspect of a failure at `at`. */
  [[nodiscard]] auto Counts(const std::string& suspect,
                            Instant at,
                            ClearedBy cleared_by) const -> bool;
  /** Returns the failures, in their order, that are of a loss of a domain. */
  [[nodiscard]] auto FindDomainLosses() const -> std::vector<bool>;
  auto DropOne(std::string_view reporter) -> void;
  /** Collects the whole requests that failed anew, after failures were dropped.
   */
  auto UpdateWholeRequests() -> void;

  [[nodiscard]] auto SuccessesOf(std::string_view suspect) const -> Successes;

  std::deque<Entry> failures;  ///< In the order in which they were added.
  std::set<std::string> whole_requests;                  ///< Of all failures.
  std::unordered_map<std::string, Successes> successes;  ///< By suspect.
  Instant newest_at = Instant::min();
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_

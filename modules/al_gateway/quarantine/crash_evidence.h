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

    A suspect that crashes each upstream which begins to answer it never
   succeeds. So a success clears a suspect of all failures before it, and of
   those shortly after it, which may have happened before it.

    The size is bounded, whatever callers send.

    Thread safety: none; used on one thread.
*/
class CrashEvidence {
 public:
  /** A suspect and the failures that no known suspect explains. */
  struct Assessment {
    std::string suspect;
    int upstreams = 0;  ///< That ended a request with the suspect.
    int crashes = 0;    ///< As above; those at the same time count once.
    int crashes_since_first = 0;  ///< Of upstreams, also without the suspect.
    int reporters = 0;            ///< Routers that reported the failures.
    std::size_t position = 0;     ///< Among a request's suspects; the highest.
    Instant first_at{};
    Instant last_at{};
  };

  /** Failures older than this are dropped. */
  static constexpr Duration kFailureLifetime = std::chrono::seconds(30);

  /** Maximum number of failures of one router. */
  static constexpr std::size_t kMaxFailuresOfReporter = 16;

  //============================================================================
  // Commands

  /** Adds a failure; drops the reporter's oldest beyond the maximum. */
  auto AddFailure(std::string_view reporter, CrashReport::Failure failure)
      -> void;

  /** Replaces all failures of a reporter. */
  auto ReplaceFailures(std::string_view reporter,
                       std::span<const CrashReport::Failure> failures) -> void;

  /** Records a success at this router. */
  auto RecordOwnSuccess(std::string_view suspect, Instant at) -> void;

  /** Records a success that a router, perhaps this one, has reported. */
  auto RecordReportedSuccess(std::string_view suspect, Instant at) -> void;

  /** Drops failures that are too old. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the failures of `reporter` in the order in which they were added.
   */
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
     doubt: it was at three crashes at different times or at five upstreams, and
     at a good part of all crashes since. Upstreams that ended a request with
     one of `known` suspects are left out, as their crashes are explained. Among
     equals, returns the suspect whose last success is the longest ago, then the
     one later in the prompt, which fewer requests share.
      @param until  later failures are left out. */
  [[nodiscard]] auto FindCulprit(const std::set<std::string>& known,
                                 Instant until) const
      -> std::optional<Assessment>;

  /** Returns the suspects that were at three upstreams or more that ended a
     request with them, and which no suspect of `known` explains: they may be at
     fault. */
  [[nodiscard]] auto FindUnconfirmed(const std::set<std::string>& known) const
      -> std::vector<Assessment>;

  /** Returns when the newest failure happened; Instant::min() if none. */
  [[nodiscard]] auto NewestFailure() const -> Instant;

 private:
  struct Entry {
    std::string reporter;
    CrashReport::Failure failure;
  };

  /** The last successes of a suspect. */
  struct Successes {
    Instant own = Instant::min();       ///< At this router.
    Instant reported = Instant::min();  ///< In a report of any router.
  };
  /** Which successes clear a suspect. */
  enum class ClearedBy { kAll, kReported };

  auto RecordSuccess(std::string_view suspect,
                     Instant Successes::*kind,
                     Instant at) -> void;

  /** Returns the suspects in unexplained failures of two or more upstreams, in
     the order of FindCulprit(). */
  [[nodiscard]] auto AssessAll(const std::set<std::string>& known,
                               Instant until,
                               ClearedBy cleared_by) const
      -> std::vector<Assessment>;

  [[nodiscard]] auto SuccessesOf(std::string_view suspect) const -> Successes;

  std::deque<Entry> failures;  ///< In the order in which they were added.
  std::unordered_map<std::string, Successes> successes;  ///< By suspect.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_

#ifndef AL_GATEWAY_PROMPTS_PROMPT_EVIDENCE_H_
#define AL_GATEWAY_PROMPTS_PROMPT_EVIDENCE_H_

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
#include "al_gateway/prompts/prompt_report.h"

namespace auburnloft::gateway {

/** Failures and successes of prompt parts, of this router and of others, and
   which part explains the failures best. Used by PromptQuarantine.

    A part that crashes each upstream which begins to answer it never succeeds.
   So a success clears a part of all failures before it, and of those shortly
   after it, which may have happened before it.

    The size is bounded, whatever parts callers send.

    Thread safety: none; used on one thread.
*/
class PromptEvidence {
 public:
  /** A part and the failures that no known part explains. */
  struct Suspect {
    std::string part;
    int upstreams = 0;  ///< That ended a request with the part.
    int crashes = 0;    ///< As above; those at the same time count once.
    int crashes_since_first = 0;  ///< Of upstreams, also without the part.
    int reporters = 0;            ///< Routers that reported the failures.
    std::size_t position = 0;     ///< In prompts; the highest.
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
  auto AddFailure(std::string_view reporter, PromptReport::Failure failure)
      -> void;

  /** Replaces all failures of a reporter. */
  auto ReplaceFailures(std::string_view reporter,
                       std::span<const PromptReport::Failure> failures) -> void;

  /** Records a success at this router. */
  auto RecordOwnSuccess(std::string_view part, Instant at) -> void;

  /** Records a success that a router, perhaps this one, has reported. */
  auto RecordReportedSuccess(std::string_view part, Instant at) -> void;

  /** Drops failures that are too old. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the failures of `reporter` in the order in which they were added.
   */
  [[nodiscard]] auto FailuresOf(std::string_view reporter) const
      -> std::vector<PromptReport::Failure>;

  /** Returns when the last failure with `part` happened. */
  [[nodiscard]] auto LastFailure(std::string_view part) const
      -> std::optional<Instant>;

  /** Returns the last known success of `part`; Instant::min() if none. */
  [[nodiscard]] auto LastSuccess(std::string_view part) const -> Instant;

  /** Returns the last successes at this router that the other routers need to
     know: each clears a part of failures of at least two upstreams, and no
     success of the part was reported shortly before it. */
  [[nodiscard]] auto FindSuccessesToReport(const std::set<std::string>& known)
      const -> std::vector<PromptReport::Success>;

  /** Returns the part that explains the most failures, if it does so beyond
     doubt: it was at three crashes at different times or at five upstreams, and
     at a good part of all crashes since. Upstreams that ended a request with
     one of `known` parts are left out, as their crashes are explained. Among
     equals, returns the part whose last success is the longest ago, then the
     one later in the prompt, which fewer requests share.
      @param until  later failures are left out. */
  [[nodiscard]] auto FindSuspect(const std::set<std::string>& known,
                                 Instant until) const -> std::optional<Suspect>;

  /** Returns the parts that were at three upstreams or more that ended a
     request with them, and which no part of `known` explains: they may be at
     fault. */
  [[nodiscard]] auto FindUnconfirmed(const std::set<std::string>& known) const
      -> std::vector<Suspect>;

  /** Returns when the newest failure happened; Instant::min() if none. */
  [[nodiscard]] auto NewestFailure() const -> Instant;

 private:
  struct Entry {
    std::string reporter;
    PromptReport::Failure failure;
  };

  /** The last successes of a part. */
  struct Successes {
    Instant own = Instant::min();       ///< At this router.
    Instant reported = Instant::min();  ///< In a report of any router.
  };
  /** Which successes clear a part. */
  enum class ClearedBy { kAll, kReported };

  auto RecordSuccess(std::string_view part,
                     Instant Successes::*kind,
                     Instant at) -> void;

  /** Returns the parts in unexplained failures of two or more upstreams, in the
     order of FindSuspect(). */
  [[nodiscard]] auto FindSuspects(const std::set<std::string>& known,
                                  Instant until,
                                  ClearedBy cleared_by) const
      -> std::vector<Suspect>;

  [[nodiscard]] auto SuccessesOf(std::string_view part) const -> Successes;

  std::deque<Entry> failures;  ///< In the order in which they were added.
  std::unordered_map<std::string, Successes> successes;  ///< By part.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PROMPTS_PROMPT_EVIDENCE_H_

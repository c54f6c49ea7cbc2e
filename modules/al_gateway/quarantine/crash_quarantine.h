#ifndef AL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_
#define AL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_process.h"
#include "al_gateway/quarantine/crash_evidence.h"
#include "al_gateway/quarantine/crash_report.h"

namespace auburnloft::gateway {

/** Finds requests that crash each upstream which begins to run them, and keeps
   them from the upstreams (a "poison pill" quarantine).

    Callers send such a request again and again, at any router. What its
   repetitions have in common is a suspect: a shared part of its prompt, or the
   whole request (see crash_suspects.h).

    A suspect that was at three upstreams which may have crashed is held back
   for a moment. It is quarantined once the crashes are confirmed and it
   explains them (see CrashEvidence), unless a success clears it or a suspect
   that is already quarantined explains the crashes. A failure counts after a
   delay, in which the other routers report successes. Routers exchange reports,
   so that the evidence of all counts and a router that has just started knows
   the quarantines of the others. A success of an earlier request releases the
   suspect.

    After a quarantine, one router of the fleet sends a single request as a
   trial. A success releases the suspect; until then, the trial counts as failed
   and the quarantine is four times as long. A whole request gets two trials a
   day. A part of prompts without a trial is released after a longer time.

    Thread safety: none; used on one thread.
*/
class CrashQuarantine {
 public:
  /** What changed, for the log. */
  struct Change {
    enum class Kind {
      kQuarantined,  ///< By the evidence known here.
      kAdopted,      ///< From another router's report.
      kTrialFailed,
      kReleased,  ///< By a success.
      kExpired,   ///< Without a trial.
    };
    Kind kind = Kind::kQuarantined;
    std::string suspect;
    int upstreams = 0;        ///< kQuarantined: that failed with the suspect.
    int reporters = 0;        ///< kQuarantined: routers with evidence.
    Duration evidence_age{};  ///< Since the first failure; kAdopted: the last.
    Duration ends_in{};       ///< Until a trial may begin.
    std::string source;       ///< kAdopted: the reporting router.
  };
  using OnChange = std::function<void(const Change&)>;

  /** Called when what counts against a suspect of three upstreams or more has
     changed, whether it is quarantined or not. */
  using OnWeighed = std::function<void(const CrashEvidence::Weighing&)>;

  /** Whether a request may be sent. */
  struct Decision {
    bool is_allowed = true;
    std::string suspect;      ///< Quarantined, also in a trial, or held back.
    bool is_trial = false;    ///< Allowed as a trial of `suspect`.
    Duration retry_after{0};  ///< If it is not allowed.
  };

  /** Returns whether this router runs the trials of a suspect. */
  using RunsTrials = std::function<bool(std::string_view suspect)>;

  /** @param self  this router's incarnation. */
  CrashQuarantine(std::string self,
                  OnChange on_change,
                  OnWeighed on_weighed = {});

  CrashQuarantine(const CrashQuarantine&) = delete;
  auto operator=(const CrashQuarantine&) -> CrashQuarantine& = delete;

  //============================================================================
  // Commands

  /** Records that an upstream has begun to answer a request. */
  auto RecordSuccess(std::span<const std::string> suspects, Instant now)
      -> void;

  /** Records that a request got no answer from an upstream, which may have
     crashed. It counts for others once ConfirmEnd() tells so.
      @param domain  failure domain of the upstream; empty if it is unknown. */
  auto RecordFailure(const UpstreamProcess& upstream,
                     std::span<const std::string> suspects,
                     Instant sent_at,
                     Instant now,
                     std::string_view domain = {}) -> void;

  /** Drops this router's failures at an upstream since `since`: it was cold, so
     that its end is no evidence against the requests that it held. */
  auto DismissFailures(const UpstreamProcess& upstream,
                       Instant since,
                       Instant now) -> void;

  /** Records that an upstream has ended, after a failure there. */
  auto ConfirmEnd(const UpstreamProcess& upstream, Instant now) -> void;

  /** Records that an upstream accepts connections after a failure there; it may
     still turn out to have been replaced. */
  auto DoubtEnd(const UpstreamProcess& upstream, Instant now) -> void;

  /** Applies another router's report, which replaces its previous one. */
  auto Apply(const CrashReport& report, Instant now) -> void;

  /** Evaluates new evidence and ends what has expired; call it regularly. */
  auto Update(Instant now) -> void;

  /** Records that a trial of `suspect` is sent. The next one waits as if this
     one failed, so that a lost result costs no further upstream. */
  auto BeginTrial(const std::string& suspect, Instant now) -> void;

  /** Records that no upstream executed the trial of `suspect`. */
  auto CancelTrial(const std::string& suspect, Instant now) -> void;

  /** Makes TakeReport() return the report again, as the others may have lost
   * it.
   */
  auto ReportAgain() -> void { this->last_report = {}; }

  /** Returns this router's report if it differs from the last one returned, and
     marks it as returned. It is empty if there is nothing left to tell.
      @param only_news  returns none if the report has only become shorter. */
  [[nodiscard]] auto TakeReport(bool only_news, Instant now)
      -> std::optional<CrashReport>;

  //============================================================================
  // Queries

  /** Returns whether an upstream had ended when a request was sent to it: an
     intermediary took the request, which says nothing about it. */
  [[nodiscard]] auto HadEnded(const UpstreamProcess& upstream,
                              Instant sent_at) const -> bool;

  /** Decides whether a request may be sent. */
  [[nodiscard]] auto Check(std::span<const std::string> suspects,
                           const RunsTrials& runs_trials,
                           Instant now) const -> Decision;

  /** Returns whether a request that failed may be sent again: not if one of its
     suspects is quarantined or may be at fault, or if it has failed as a whole
     at two upstreams. */
  [[nodiscard]] auto MayRetry(std::span<const std::string> suspects) const
      -> bool;

  /** Returns whether Check() depends on the whole request: if not, it need not
     be among the suspects. */
  [[nodiscard]] auto keeps_whole_requests() const -> bool;

  /** As above, for RecordSuccess(). */
  [[nodiscard]] auto awaits_success() const -> bool;

  /** The suspects in quarantine, with their state. */
  [[nodiscard]] auto quarantines() const
      -> std::vector<CrashReport::Quarantine>;

 private:
  struct State {
    Instant failed_at{};
    Instant ends_at{};
    int trials = 0;
    Instant trial_began_at{};  ///< At this router; unset after a failure.
  };

  [[nodiscard]] auto KnownSuspects() const -> std::set<std::string>;
  auto ApplyTrialFailures(Instant now) -> void;
  auto HoldBackUnconfirmed() -> void;
  /** Calls `on_weighed` for each suspect whose evidence counts otherwise than
     at the last call. */
  auto ReportWeighed(Instant now) -> void;
  auto ReleaseByEvidence(Instant now) -> void;
  auto QuarantineSuspects(Instant now) -> void;
  auto AdoptQuarantines(const CrashReport& report, Instant now) -> void;
  [[nodiscard]] auto MakeReport(Instant now) -> CrashReport;
  auto Evaluate(Instant now) -> void;
  /** Adds the successes that others need to know to those that are reported. */
  auto UpdateReportedSuccesses(Instant now) -> void;

  std::string self;
  OnChange on_change;
  OnWeighed on_weighed;
  CrashEvidence evidence;
  std::vector<CrashEvidence::Weighing> weighed;  ///< That was reported.
  std::map<std::string, State> by_suspect;
  std::map<std::string, Instant> held_until;  ///< Parts that may be at fault.
  /** How often, and when last, an upstream was found to have ended: a process
     that starts again is known as the one before until its record is read. */
  struct Ends {
    int count = 0;
    Instant last_at{};
  };
  /** Returns how reports name the process that a request was sent to. */
  [[nodiscard]] auto NameAt(const UpstreamProcess& upstream,
                            Instant sent_at) const -> std::string;

  std::map<std::string, Ends> ends;  ///< By process; for a while.
  std::map<std::string, Instant> reported_successes;  ///< Of this router.
  CrashReport last_report;
  Instant evaluated_at{};
  bool has_new_evidence = false;
  bool has_news = false;  ///< To report.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_

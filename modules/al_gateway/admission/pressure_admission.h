#ifndef AL_GATEWAY_ADMISSION_PRESSURE_ADMISSION_H_
#define AL_GATEWAY_ADMISSION_PRESSURE_ADMISSION_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "al_core/time/instant.h"
#include "al_gateway/admission/admission_decision.h"
#include "al_gateway/admission/decayed_count.h"
#include "al_gateway/admission/minimum_shares.h"
#include "al_gateway/admission/team_shares.h"

namespace auburnloft::gateway {

/** Decides which generations begin, wait or are refused while their service
   can't begin all of them in time.

    - A request that is expected to begin too late to be of use is refused.
    - While many first events come later than the most urgent requests allow, a
      fraction of the requests is refused:
      first what teams ask far beyond their share, then the least urgent
      requests, of these first those beyond their team's share. The fraction
      grows while first events are late, and shrinks while they are not.
    - Neither rule starves a kind, a team or large requests (MinimumShares).

    A request that was refused and comes back before its time is refused again
    until then, and does not count as demand: to repeat at once gains nothing.
    One that comes back later gives way after new ones of the same rank.

    Each router decides by what it observes itself.

    Thread safety: none; used on one thread.
*/
class PressureAdmission {
 public:
  PressureAdmission() = default;

  PressureAdmission(const PressureAdmission&) = delete;
  auto operator=(const PressureAdmission&) -> PressureAdmission& = delete;

  //============================================================================
  // Commands

  /** Decides about a request that has arrived. */
  [[nodiscard]] auto Decide(const AdmissionQuery& query, Instant now)
      -> AdmissionDecision;

  /** Decides again about a request that waits. Call it each few
     milliseconds, with the query's estimates brought up to date.
      @pre Decide() returned kWait for it. */
  [[nodiscard]] auto DecideAgain(const AdmissionQuery& query, Instant now)
      -> AdmissionDecision;

  /** Records that a request which was begun has no first event although its
     objective has passed, or never will have one. Call it once at most. */
  auto RecordOverdue(const AdmissionQuery& query, Instant now) -> void;

  /** Records the first event of a request that was begun.
      @param query        as in the decision; `expected` is the estimate.
      @param latency      time since the request was sent.
      @param was_overdue  whether RecordOverdue() was called for it. */
  auto RecordFirstEvent(const AdmissionQuery& query,
                        Duration latency,
                        bool was_overdue,
                        Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the fraction of a service's requests that is refused for
     pressure, 0 to 1; 0 if the service is not under pressure. */
  [[nodiscard]] auto ShedFraction(std::string_view service, Instant now)
      -> double;

 private:
  /** Time constant of what is observed of first events. */
  static constexpr Duration kObservedWindow = std::chrono::seconds(3);

  /** Time constant of the mix of requests: a router of a large fleet gets one
     or two requests a second. */
  static constexpr Duration kMixWindow = std::chrono::seconds(10);

  /** The requests of one rank, in the order in which they give way. */
  struct Band {
    DecayedCount seen{kMixWindow};
    double credit = 0.0;  ///< Requests that may pass; a whole one passes.
  };

  /** How far estimates for requests of one priority are off. */
  struct Bias {
    double seconds = 0.0;
    Instant updated_at{};
  };

  /** The newest request of a priority. */
  struct Urgency {
    Duration objective{0};
    Instant seen_at{};
  };

  /** Whether a request was refused here before. */
  enum class Return {
    kNone,
    kEarly,   ///< Before the time that it was told.
    kInTime,  ///< After that.
  };

  struct Service {
    DecayedCount events{kObservedWindow};       ///< First events.
    DecayedCount late_events{kObservedWindow};  ///< Also those foreseen late.
    double shed = 0.0;  ///< Fraction of the requests to refuse.
    Instant updated_at{};
    std::map<int, Band> bands;         ///< By BandOrder().
    std::map<int, Bias> biases;        ///< By priority.
    std::map<int, Urgency> urgencies;  ///< By priority.
    TeamShares teams;
    MinimumShares minimum_shares;
  };

  [[nodiscard]] auto ReturnOf(const AdmissionQuery& query, Instant now) const
      -> Return;
  auto RememberRefusal(const AdmissionQuery& query,
                       const AdmissionDecision& decision,
                       Instant now) -> void;
  [[nodiscard]] auto ServiceOf(std::string_view name, Instant now) -> Service&;
  /** Returns the fraction of recent first events that were late. */
  [[nodiscard]] static auto LateFraction(const Service& service, Instant now)
      -> double;
  /** Returns the fraction of what is begun that is divided between teams. */
  [[nodiscard]] static auto UsefulFraction(const Service& service, Instant now)
      -> double;
  /** Returns the latency above which a first event shows pressure: the
     objective of the most urgent requests seen lately, at most the own one. */
  [[nodiscard]] static auto LateAfter(const Service& service,
                                      const AdmissionQuery& query,
                                      Instant now) -> Duration;
  static auto UpdateShed(Service& service, Instant now) -> void;
  /** Returns the fraction of the band's requests that may begin. */
  [[nodiscard]] static auto PassFraction(const Service& service,
                                         int order,
                                         Instant now) -> double;
  /** Returns the time to the first event from the arrival on, corrected by
     what was learned of requests of this priority. */
  [[nodiscard]] static auto ExpectedOf(const Service& service,
                                       const AdmissionQuery& query,
                                       Instant now) -> Duration;
  [[nodiscard]] static auto Begin(Service& service,
                                  const AdmissionQuery& query,
                                  AdmissionDecision decision,
                                  std::string_view reason,
                                  Instant now) -> AdmissionDecision;
  /** Refuses a request that gives way, or lets it wait if it has time. */
  [[nodiscard]] static auto GiveWay(const Service& service,
                                    const AdmissionQuery& query,
                                    AdmissionDecision decision,
                                    const TeamShares::Share& share)
      -> AdmissionDecision;

  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<std::uint64_t, Instant> told_times;  ///< By identity: when
                                                          ///< to come back.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_PRESSURE_ADMISSION_H_

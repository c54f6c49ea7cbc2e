#ifndef SUPPORT_ADMISSION_PLAY_H_
#define SUPPORT_ADMISSION_PLAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_core/time/instant.h"
#include "al_gateway/admission/pressure_admission.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** Plays generations of many callers through many routers before engines, in
    virtual time and without sockets. The routers have the real selector of
    upstreams and, by policy, the real admission.

    An engine runs a fixed number of requests at once, the most urgent and
    oldest first; a request holds its place for its prompt and its output.
 */
class AdmissionPlay {
 public:
  /** Which requests a router begins. */
  enum class Policy {
    kAll,          ///< First come, first served.
    kRandom,       ///< A fixed fraction, which brings demand to the capacity.
    kEqualShares,  ///< An equal part of the capacity for each team and router.
    kPressure,     ///< PressureAdmission.
  };

  struct Kind {
    std::string name;
    int priority = 5;
    Duration objective{0};
    double per_second = 0.0;          ///< Of all callers, without `factor`.
    double factor = 1.0;              ///< Of the crowd, from crowd_from on.
    std::uint64_t prompt_tokens = 0;  ///< Of nine tenths of the requests.
    std::uint64_t output_tokens = 0;
    /** Of a tenth of the requests, in place of prompt_tokens. */
    std::uint64_t large_prompt_tokens = 0;
  };

  struct Settings {
    Policy policy = Policy::kPressure;
    int routers = 8;
    int engines = 60;
    int slots = 6;  ///< Requests that an engine runs at once.
    Duration per_token = std::chrono::milliseconds(10);
    std::vector<Kind> kinds;
    int teams = 20;
    double first_team_factor = 1.0;  ///< Of the crowd, for team 0.
    Duration crowd_from = std::chrono::seconds(4);
    Duration length = std::chrono::seconds(20);
    /** Team whose callers repeat at once after a refusal; -1: none. */
    int repeating_team = -1;
    std::uint64_t seed = 1;
  };

  /** What became of requests, from the beginning of the crowd on. */
  struct Tally {
    int requests = 0;
    int in_time = 0;  ///< First event within the objective of its try.
    int late = 0;
    int refused = 0;        ///< For good.
    int refused_again = 0;  ///< Refusals after the first one of a request.
    [[nodiscard]] auto ServedInTime() const -> double {
      return this->requests == 0
                 ? 0.0
                 : static_cast<double>(this->in_time) / this->requests;
    }
    auto operator+=(const Tally& other) -> Tally&;
  };

  /** Returns a load of three kinds and 20 teams that needs about four
     fifths of 60 engines, in whose crowd the least urgent kind has
     `factor` times its usual load. */
  [[nodiscard]] static auto CrowdSettings(double factor) -> Settings;

  explicit AdmissionPlay(Settings settings);
  ~AdmissionPlay();

  AdmissionPlay(const AdmissionPlay&) = delete;
  auto operator=(const AdmissionPlay&) -> AdmissionPlay& = delete;

  /** Plays the whole time. Call it once. */
  auto Run() -> void;

  [[nodiscard]] auto All() const -> Tally;
  [[nodiscard]] auto OfKind(const std::string& name) const -> Tally;
  [[nodiscard]] auto OfTeam(int team) const -> Tally;
  /** Returns the tally of all teams but one. */
  [[nodiscard]] auto OfTeamsExcept(int team) const -> Tally;
  /** Returns how often the requests of a kind were refused, by reason. */
  [[nodiscard]] auto Refusals(const std::string& kind) const
      -> std::map<std::string, int>;
  /** Returns the tally of a kind's large requests. */
  [[nodiscard]] auto OfLarge(const std::string& kind) const -> Tally;

 private:
  struct Request;
  struct Engine;
  struct Router;

  auto ScheduleArrival(std::size_t kind) -> void;
  auto Arrive(const std::shared_ptr<Request>& request) -> void;
  auto Decide(const std::shared_ptr<Request>& request, bool again) -> void;
  [[nodiscard]] auto MayBegin(Request& request) -> bool;
  auto Send(const std::shared_ptr<Request>& request) -> void;
  auto Refuse(const std::shared_ptr<Request>& request, Duration retry_after)
      -> void;
  auto StartNext(std::size_t number) -> void;
  auto OnFirstEvent(const std::shared_ptr<Request>& request) -> void;
  auto OnEnd(const std::shared_ptr<Request>& request) -> void;
  [[nodiscard]] auto QueryFor(const Request& request,
                              const gateway::UpstreamChoice& choice)
      -> gateway::AdmissionQuery;
  /** Returns the part of the crowd's demand that the engines can run. */
  [[nodiscard]] auto CapacityFraction() const -> double;

  Settings settings;
  EventQueue queue;
  Instant begin;
  RandomSource random;
  std::uint64_t next_part = 0;  ///< Of a prompt; not shared.
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::unique_ptr<Engine>> engines;
  std::map<std::pair<std::size_t, int>, Tally> tallies;  ///< By kind and team.
  std::map<std::pair<std::size_t, std::string>, int> refusals;  ///< By kind and
                                                                ///< reason.
  std::map<std::size_t, Tally> large_tallies;                   ///< By kind.
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_ADMISSION_PLAY_H_

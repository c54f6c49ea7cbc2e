#ifndef TESTS_SUPPORT_HEDGE_PLAY_H_
#define TESTS_SUPPORT_HEDGE_PLAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_core/time/instant.h"
#include "al_gateway/hedging/hedge_policy.h"
#include "al_gateway/limits/execution_counter.h"
#include "al_gateway/limits/fleet_retry_budget.h"
#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** Plays requests of one kind through routers to upstreams in virtual time,
    with the routers' own selector, retry rule and HedgePolicy.

    An upstream executes as many requests as it has slots; the others wait in
    its queue. A plain request holds its slot until its response; a stream until
    its last event, of which only the first is measured.

    Thread safety: none; use one object on one thread.
*/
class HedgePlay {
 public:
  struct Settings {
    bool is_stream = true;
    double share = 0.0;  ///< As HedgePolicy.
    int routers = 6;
    int upstreams = 60;
    int slots = 8;
    double requests_per_second = 200.0;  ///< Of all routers.
    Duration span = std::chrono::seconds(60);
    double slow_factor = 1.0;      ///< Of the first upstream's times.
    bool has_noise = false;        ///< Times are 2.5 times as long in 15 of 100
                                   ///< intervals of 600 ms of each upstream.
    bool is_first_silent = false;  ///< The first upstream never answers.
    Duration burst_at{0};          ///< Begin of a burst.
    Duration burst_span{0};        ///< 0: none.
    double burst_factor = 1.0;     ///< Of the requests per second.
    std::uint64_t seed = 1;
  };

  struct Result {
    std::vector<double> times_ms;  ///< Until the response, or the first event;
                                   ///< in ascending order.
    std::uint64_t requests = 0;
    std::uint64_t sends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedges_in_burst = 0;
    std::uint64_t requests_in_burst = 0;
    std::uint64_t unanswered = 0;  ///< At their deadline.
    std::uint64_t double_answers = 0;
    std::map<std::string, std::uint64_t> decisions;

    /** Returns a quantile of the times. @pre 0 <= quantile <= 1. */
    [[nodiscard]] auto Quantile(double quantile) const -> double;
  };

  explicit HedgePlay(const Settings& settings);

  HedgePlay(const HedgePlay&) = delete;
  auto operator=(const HedgePlay&) -> HedgePlay& = delete;

  /** Plays all requests to their end. Call it once. */
  [[nodiscard]] auto Run() -> Result;

 private:
  struct Request;

  struct Attempt {
    std::shared_ptr<Request> request;
    std::size_t engine = 0;
    gateway::UpstreamChoice choice;
    std::uint64_t pending_prefill = 0;
    Instant sent_at{};
    bool is_open = true;
    bool has_slot = false;
  };

  struct Request {
    std::size_t router = 0;
    gateway::GenerationMetadata generation;
    Instant arrived_at{};
    gateway::ExecutionCounter counter;
    std::vector<std::string> tried;
    std::shared_ptr<Attempt> current;
    std::shared_ptr<Attempt> hedge;
    bool is_answered = false;
  };

  struct Engine {
    int running = 0;
    std::deque<std::shared_ptr<Attempt>> queue;
  };

  struct Router {
    Router(const Settings& settings, int number);

    gateway::UpstreamDirectory directory;
    gateway::UpstreamSelector selector;
    gateway::FleetRetryBudget budget;
    gateway::HedgePolicy policy;
  };

  auto ScheduleArrival() -> void;
  auto Arrive() -> void;
  auto Send(const std::shared_ptr<Request>& request)
      -> std::shared_ptr<Attempt>;
  [[nodiscard]] auto Choose(const Request& request) const
      -> std::optional<gateway::UpstreamChoice>;
  auto Begin(std::size_t engine) -> void;
  auto Answer(const std::shared_ptr<Attempt>& attempt) -> void;
  auto Cancel(const std::shared_ptr<Attempt>& attempt, bool failed) -> void;
  auto Release(std::size_t engine) -> void;
  auto OnLate(const std::shared_ptr<Request>& request) -> void;
  auto OnTimeout(const std::shared_ptr<Request>& request,
                 const std::shared_ptr<Attempt>& attempt) -> void;
  auto OnDeadline(const std::shared_ptr<Request>& request) -> void;
  [[nodiscard]] auto WorkOf(const Attempt& attempt) -> Duration;
  [[nodiscard]] auto IsInBurst() const -> bool;
  [[nodiscard]] auto MakeGeneration() -> gateway::GenerationMetadata;

  Settings settings;
  gateway::RouteRule route;
  EventQueue events;
  Instant begin;
  RandomSource random;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Router>> routers;
  Result result;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_HEDGE_PLAY_H_

#ifndef TESTS_SUPPORT_PACED_FLEET_H_
#define TESTS_SUPPORT_PACED_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_gateway/al_gateway.h"
#include "support/engine_model.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** Routers in front of model engines in virtual time: waves of requests with
    long shared prompts and short ones, and the exchange of loads and paces
    between routers and readers in their wire format.

    Thread safety: none.
*/
class PacedFleet {
 public:
  enum class Policy {
    kNoPace,      ///< UpstreamSelector without paces and others' loads.
    kPace,        ///< With both; in fleets of up to 12 routers paces only.
    kTwoChoices,  ///< The less loaded, at this router, of two random engines.
    kLeastOpen,   ///< The least loaded at this router, random among equal ones.
    kOracle,      ///< The earliest first event by the engines' true state.
  };
  struct Settings {
    Policy policy = Policy::kPace;
    int routers = 8;
    int engines = 60;
    double slow_share = 1.0 / 3.0;  ///< Of the engines: `slow_factor`.
    double slow_factor = 1.7;
    double fast_factor = 0.7;
    double noise_share = 0.15;
    double requests_per_second = 600.0;  ///< Mean of the fleet.
    double wave = 0.5;  ///< Part of the mean by which demand swings.
    Duration duration = std::chrono::seconds(68);  ///< Four waves.
    std::uint64_t seed = 1;
  };
  struct Result {
    std::vector<double> long_ms;  ///< Times to first events, by size of prompt.
    std::vector<double> short_ms;
    std::vector<int> requests_by_engine;
    double bytes_per_router_second = 0.0;  ///< Mean of requests and replies.
    double reader_bytes_per_second = 0.0;  ///< The most of a reader.
    double unequal_share = 0.0;  ///< Of beliefs that differ from the median.
  };

  explicit PacedFleet(const Settings& settings);

  PacedFleet(const PacedFleet&) = delete;
  auto operator=(const PacedFleet&) -> PacedFleet& = delete;

  /** Plays the settings' duration. Call it once. */
  [[nodiscard]] auto Run() -> Result;

 private:
  struct Router {
    Router(int number, const Settings& settings);
    gateway::UpstreamDirectory directory;
    gateway::UpstreamSelector selector;
    gateway::EngineLoadReporter reporter;
    gateway::EngineLoadTable table;
    std::string name;
    std::uint64_t bytes = 0;
  };

  auto Arrive() -> void;
  auto MakePrompt() -> gateway::GenerationMetadata;
  auto Choose(Router& router, const gateway::GenerationMetadata& prompt)
      -> gateway::UpstreamChoice;
  auto Send(Router& router, const gateway::GenerationMetadata& prompt) -> void;
  auto Generate(Router& router,
                const gateway::UpstreamChoice& choice,
                std::uint64_t tokens) -> void;
  auto Exchange(std::size_t router) -> void;
  auto UpdatePaces(std::size_t router) -> void;
  [[nodiscard]] auto EngineOf(const gateway::UpstreamState& upstream) const
      -> std::size_t;

  Settings settings;
  EventQueue queue;
  RandomSource random;
  std::vector<EngineModel> engines;
  std::vector<std::unique_ptr<Router>> routers;
  std::size_t readers = 0;  ///< The first routers; 0: none.
  std::uint64_t next_prompt = 0;
  std::uint64_t beliefs = 0;  ///< Of all routers at all updates.
  std::uint64_t unequal_beliefs = 0;
  Result result;
};

/** Returns the share of `values` up to `limit`; 0 of none. */
[[nodiscard]] auto ShareWithin(const std::vector<double>& values, double limit)
    -> double;

/** Returns a quantile of `values`; 0 of none. */
[[nodiscard]] auto Quantile(std::vector<double> values, double quantile)
    -> double;

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_PACED_FLEET_H_

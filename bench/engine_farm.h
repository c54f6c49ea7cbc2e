#ifndef BENCH_ENGINE_FARM_H_
#define BENCH_ENGINE_FARM_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/prefix_cache.h"
#include "support/virtual_fleet.h"

namespace auburnloft::bench {

/** Size of a request for an engine. */
struct JobSize {
  std::size_t prompt_blocks = 2;
  std::size_t pieces = 20;  ///< Output length, in tokens.
};

/** Simulates model engines in virtual time: slots, priorities and prefill that
   skips cached prefixes. Load reports are delayed and one in ten cache events
   is lost.

    Thread safety: none.

    @see TrafficBench
*/
class EngineFarm {
 public:
  struct Options {
    std::size_t engines = 12;
    std::size_t slots = 8;           ///< Requests that an engine runs at once.
    std::size_t cache_blocks = 200;  ///< Prefix cache size of each engine.
    Duration piece_interval = std::chrono::milliseconds(25);
    Duration prefill_per_block = std::chrono::milliseconds(12);
    Duration report_interval = std::chrono::milliseconds(500);
    Duration report_lag =
        std::chrono::milliseconds(300);  ///< Age of the load in a report.
  };

  using OnFirstPiece = std::function<void(std::size_t caller)>;

  EngineFarm(testing::VirtualFleet& fleet, Options options);

  EngineFarm(const EngineFarm&) = delete;
  auto operator=(const EngineFarm&) -> EngineFarm& = delete;

  /** Sets the size of the request of the caller with this index. */
  auto SetJobSize(std::size_t caller, JobSize size) -> void {
    this->sizes[caller] = size;
  }
  /** Multiplies the time of later requests on the engine by `factor`. */
  auto SetSlowdown(std::size_t engine, double factor) -> void {
    this->engines[engine].slowdown = factor;
  }
  /** Fails all requests of the engine; it accepts and reports nothing from then
   * on. */
  auto SetUnavailable(std::size_t engine) -> void;
  auto SetOnFirstPiece(OnFirstPiece callback) -> void {
    this->on_first_piece = std::move(callback);
  }

  /** Cache hits divided by lookups, over all engines; 0 without lookups. */
  [[nodiscard]] auto PrefixHitRate() const -> double;
  [[nodiscard]] auto sent() const -> std::uint64_t { return this->sent_count; }

  /** Returns the `upstreams` section of the configuration. */
  [[nodiscard]] static auto Upstreams(const Options& options) -> nlohmann::json;

 private:
  struct Job {
    std::size_t node = 0;
    std::uint64_t node_incarnation = 0;
    std::size_t caller = 0;
    UpstreamCompleted done;
    int priority = 0;
    bool is_patient = false;
    std::vector<PrefixDigest> prefix;
    JobSize size;
  };
  struct Engine {
    explicit Engine(std::size_t cache_blocks) : cache(cache_blocks) {}
    standins::PrefixCache cache;
    std::vector<Job> running;
    std::deque<Job> waiting;
    std::deque<std::pair<Instant, LoadReport>> load_samples;
    std::map<std::size_t, std::uint64_t>
        events_read;        ///< Last reported cache event by node.
    double slowdown = 1.0;  ///< Factor of the execution time.
    bool is_unavailable = false;
  };

  auto Send(std::size_t node,
            const SendUpstreamRequest& action,
            const IncomingRequest& arrival) -> void;
  auto StartNext(std::size_t engine) -> void;
  auto Finish(std::size_t engine, RequestHandle handle) -> void;
  auto Fail(const Job& job, bool sent) -> void;
  auto Sample() -> void;
  auto Report() -> void;

  testing::VirtualFleet& fleet;
  Options options;
  std::vector<Engine> engines;
  std::map<std::size_t, JobSize> sizes;
  OnFirstPiece on_first_piece;
  std::uint64_t sent_count = 0;
};

}  // namespace auburnloft::bench

#endif  // BENCH_ENGINE_FARM_H_

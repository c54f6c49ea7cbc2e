#ifndef BENCH_ENGINE_FARM_H_
#define BENCH_ENGINE_FARM_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/prefix_cache.h"
#include "support/virtual_fleet.h"

namespace auburnloft::bench {

/** What a request costs an engine. */
struct JobSize {
  std::size_t prompt_blocks = 2;
  std::size_t pieces = 20;
};

/** Busy model engines in virtual time: slots, priorities, prefill less cached
   prefixes, and reports of load and caches that come late and with gaps.

    @see TrafficBench
*/
class EngineFarm {
 public:
  struct Options {
    std::size_t engines = 12;
    std::size_t slots = 8;
    std::size_t cache_blocks = 200;
    Duration piece_interval = std::chrono::milliseconds(25);
    Duration prefill_per_block = std::chrono::milliseconds(12);
    Duration report_interval = std::chrono::milliseconds(500);
    Duration report_lag = std::chrono::milliseconds(300);
  };

  using OnFirstPiece = std::function<void(std::size_t caller)>;

  EngineFarm(testing::VirtualFleet& fleet, Options options);

  EngineFarm(const EngineFarm&) = delete;
  auto operator=(const EngineFarm&) -> EngineFarm& = delete;

  /** Tells the size of the job of the caller with that number. */
  auto SetSize(std::size_t caller, JobSize size) -> void {
    this->sizes[caller] = size;
  }
  auto SetSlow(std::size_t engine, double factor) -> void {
    this->engines[engine].slow = factor;
  }
  auto SetDead(std::size_t engine) -> void;
  auto SetOnFirstPiece(OnFirstPiece callback) -> void {
    this->on_first_piece = std::move(callback);
  }

  [[nodiscard]] auto PrefixHitRate() const -> double;
  [[nodiscard]] auto sent() const -> std::uint64_t { return this->sent_count; }

  /** The configuration's `upstreams`. */
  [[nodiscard]] static auto Upstreams(const Options& options) -> nlohmann::json;

 private:
  struct Job {
    std::size_t node = 0;
    std::uint64_t incarnation_number = 0;
    std::size_t caller = 0;
    UpstreamDone done;
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
    std::deque<std::pair<Instant, LoadReport>> samples;
    std::map<std::size_t, std::uint64_t> events_read;
    double slow = 1.0;
    bool dead = false;
  };

  auto Send(std::size_t node,
            const StartUpstream& action,
            const ArrivingRequest& arrival) -> void;
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

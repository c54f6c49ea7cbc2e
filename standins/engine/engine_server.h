#ifndef STANDINS_ENGINE_ENGINE_SERVER_H_
#define STANDINS_ENGINE_ENGINE_SERVER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"
#include "engine/generation.h"
#include "engine/prefix_cache.h"

namespace auburnloft::standins {

/** Stand-in for a model engine with continuous batching, a prefix cache,
    priorities and resumable streams.

    - `POST /v1/chat/completions` takes an OpenAI-style request and always
      streams. Waiting requests start by `priority` in the body, higher first,
      then by arrival.
    - `GET /v1/streams/NAME?after=N` resumes a stream after piece N; `DELETE`
      cancels it.
    - `GET /load` returns the load of `Options::load_lag` ago.
    - `GET /cache-events?after=N` returns the changes of the prefix cache; some
      are missing.
    - `POST /orders` takes an operator's command in `order`, with `model` or
      `role`, and a fencing number in `fencing`; `GET /orders` returns the
      state.
    - `POST /faults` replaces the injected faults by those in the body:
      `outage`, `slow_factor`, `refuse`, `leaving` (the load report says that
      the engine drains), and `cut_streams` (number of following streams that
      break off, once each, after `cut_after` pieces).

    Thread safety: none; used on the event loop's thread.
*/
class EngineServer {
 public:
  struct Options {
    std::string address;    ///< IP:PORT to listen on.
    std::size_t slots = 8;  ///< Maximum number of concurrent generations.
    Duration piece_interval = std::chrono::milliseconds(5);
    Duration prefill_per_token = std::chrono::microseconds(50);
    std::size_t cache_blocks = 512;  ///< Capacity of the prefix cache.
    Duration load_lag = std::chrono::milliseconds(300);  ///< Age of the load.
    /** Time for which a generation continues without a reader. */
    Duration resume_window = std::chrono::seconds(10);
    bool checks_fencing = false;  ///< Refuses outdated fencing numbers.
    std::uint64_t seed = 1;       ///< Random seed; currently unused.
  };

  EngineServer(EventLoop& loop, Options options);

  EngineServer(const EngineServer&) = delete;
  auto operator=(const EngineServer&) -> EngineServer& = delete;

  /** Starts to serve. @return false if the address is not available. */
  [[nodiscard]] auto Listen() -> bool;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  struct Faults {
    bool outage = false;
    bool refuse = false;
    bool leaving = false;
    double slow_factor = 1.0;
    int cut_streams = 0;
    std::uint64_t cut_after = 3;
  };
  struct LoadSample {
    Instant at;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t low_priority_running = 0;
  };
  struct Waiting {
    std::unique_ptr<Generation> generation;
    std::vector<std::uint64_t> prefix;
    std::size_t prompt_tokens = 0;
    Instant arrived;
  };

  auto OnRequest(const Exchange& exchange) -> void;
  auto StartChat(const Exchange& exchange) -> void;
  auto HandleStream(const Exchange& exchange) -> void;
  auto HandleOrder(const Exchange& exchange) -> void;
  auto SendLoad(const Exchange& exchange) -> void;
  auto SendCacheEvents(const Exchange& exchange) -> void;
  auto SetFaults(const Exchange& exchange) -> void;
  auto Tick() -> void;
  auto Admit(Instant now) -> void;

  EventLoop& loop;
  Options options;
  HttpServer server;
  PrefixCache cache;
  RandomSource random;
  Faults faults;
  std::vector<std::unique_ptr<Generation>> running;
  std::vector<Waiting> waiting;
  std::deque<LoadSample> samples;
  std::uint64_t next_stream = 1;
  std::uint64_t served = 0;
  std::uint64_t fencing = 0;
  std::set<std::string> models;
  std::string role = "both";
  std::uint64_t accepted_orders = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_ENGINE_ENGINE_SERVER_H_

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

/** A model engine with continuous batching, a prefix cache, priorities and
   streams that can be taken up again.

    - `POST /v1/chat/completions` as an OpenAI client sends it; always streams.
   `priority` in the body goes before arrival.
    - `GET /v1/streams/NAME?after=N` takes a stream up again; `DELETE` cancels
   it
    - `GET /load`, as it was a lag ago; `GET /cache-events?after=N`, late and
   with gaps
    - `POST /orders` with `order`, `model` or `role`, and `fencing`; `GET
   /orders` tells the state
    - `POST /faults` takes any of `outage`, `slow_factor`, `refuse`,
   `cut_streams` (how many of the next streams break off, once each, after
   `cut_after` pieces), `leaving`

    Thread safety: none; used on the loop's thread.
*/
class EngineServer {
 public:
  struct Options {
    std::string address;
    std::size_t slots = 8;
    Duration piece_interval = std::chrono::milliseconds(5);
    Duration prefill_per_token = std::chrono::microseconds(50);
    std::size_t cache_blocks = 512;
    Duration load_lag = std::chrono::milliseconds(300);
    Duration resume_window = std::chrono::seconds(10);
    bool checks_fencing = false;
    std::uint64_t seed = 1;
  };

  EngineServer(EventLoop& loop, Options options);

  EngineServer(const EngineServer&) = delete;
  auto operator=(const EngineServer&) -> EngineServer& = delete;

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

#ifndef TESTS_SUPPORT_RESTART_PLAY_H_
#define TESTS_SUPPORT_RESTART_PLAY_H_

#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/membership/router_registry.h"
#include "al_gateway/streams/stream_origin_replicas.h"

namespace auburnloft::testing {

/** Plays a rolling restart of a fleet in virtual time, with the routers' own
    registries and StreamOriginReplicas. Routers serve streams that last longer
    than their grace period, and break them off at their end; the streams'
    callers take them up at routers that do not leave. Announcements and news
    arrive within a step of half a second.

    Thread safety: none; use one object on one thread.
*/
class RestartPlay {
 public:
  struct Settings {
    std::size_t routers = 8;
    std::size_t at_a_time = 1;  ///< Routers that are stopped together.
    Duration gap = std::chrono::seconds(2);  ///< Between two stops.
  };

  struct Result {
    int taken_up = 0;
    int known = 0;  ///< To the router of the take-up, or to one that
                    ///< it asks.
    double told_per_second = 0.0;  ///< Streams that a router tells another of,
                                   ///< on average.
  };

  explicit RestartPlay(const Settings& settings);
  ~RestartPlay();

  RestartPlay(const RestartPlay&) = delete;
  auto operator=(const RestartPlay&) -> RestartPlay& = delete;

  /** Plays until each router has been restarted. Call it once. */
  [[nodiscard]] auto Run() -> Result;

 private:
  struct Stream {
    std::string id;
    Instant began_at{};
  };
  struct Router;

  auto StartOrStop(Router& router) -> void;
  /** Begins a stream at a router that stays, and tells others what is new. */
  auto Serve(Router& router) -> void;
  auto Start(Router& router) -> void;
  auto End(Router& router) -> void;
  auto AnnounceAll() -> void;
  auto SendNews(Router& router) -> void;
  auto Begin(Router& router, const Stream& stream) -> void;
  auto TakeUp(const Stream& stream) -> void;
  [[nodiscard]] auto RouterAt(const std::string& address) const
      -> const Router&;

  Settings settings;
  Instant now{std::chrono::hours(1)};
  std::mt19937 random{1};
  std::vector<Router> routers;
  std::vector<Stream> broken;  ///< To be taken up in the next step.
  int stream_count = 0;
  std::size_t told = 0;  ///< Streams in news, over all routers.
  Result result;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_RESTART_PLAY_H_

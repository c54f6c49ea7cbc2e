#ifndef SUPPORT_PLACE_PLAY_H_
#define SUPPORT_PLACE_PLAY_H_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_core/time/instant.h"
#include "al_gateway/admission/place_queue.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** Plays requests of a plain service with few slots through many routers, in
    virtual time and without sockets: each upstream runs `slots` requests,
   queues `queue_length` more, and refuses the others as full. */
class PlacePlay {
 public:
  enum class Policy {
    kAtOnce,      ///< Each upstream in turn, within equal connection shares.
    kPlaceQueue,  ///< PlaceQueue and shares by demand.
  };

  struct Settings {
    Policy policy = Policy::kPlaceQueue;
    int routers = 78;
    int busy_routers = 3;  ///< Which have half of the requests.
    int upstreams = 3;
    int slots = 6;
    int queue_length = 24;
    int max_connections = 530;
    Duration work = std::chrono::milliseconds(100);
    Duration objective = std::chrono::milliseconds(600);
    double per_second = 80.0;
    double burst = 8.0;  ///< Factor for a quarter of a second in every two.
    /** Retries of the fleet: per request, and beyond that in the whole play. */
    double retry_ratio = 0.2;
    double retry_slack = 50.0;
    /** The wait of callers that a router refused, and their number of tries. */
    Duration retry_after = std::chrono::milliseconds(300);
    int tries = 3;
    Duration length = std::chrono::seconds(20);
    std::uint64_t seed = 1;
  };

  struct Tally {
    int requests = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;           ///< For good.
    int refused_tries = 0;     ///< By a router.
    int refused_upstream = 0;  ///< Attempts that an upstream refused as full.
    int most_connections = 0;  ///< To one upstream at any time.
    auto operator+=(const Tally& other) -> Tally&;
  };

  explicit PlacePlay(const Settings& settings);
  ~PlacePlay();

  PlacePlay(const PlacePlay&) = delete;
  auto operator=(const PlacePlay&) -> PlacePlay& = delete;

  auto Run() -> void;

  [[nodiscard]] auto tally() const -> const Tally& { return this->sums; }

 private:
  struct Request;
  struct Upstream;
  struct Router;
  using RequestPtr = std::shared_ptr<Request>;

  auto ScheduleArrival() -> void;
  auto Arrive(const RequestPtr& request) -> void;
  /** Sends the request to the upstream with the fewest open requests of its
     router that has not refused it. @return false if there is none. */
  auto Send(const RequestPtr& request) -> bool;
  auto OnAnswer(const RequestPtr& request) -> void;
  auto OnFull(const RequestPtr& request) -> void;
  auto WaitAgain(const RequestPtr& request) -> void;
  auto ServeQueue(std::size_t number) -> void;
  auto Refuse(const RequestPtr& request) -> void;
  auto StartNext(std::size_t number) -> void;

  Settings settings;
  EventQueue queue;
  Instant begin;
  RandomSource random;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  Tally sums;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_PLACE_PLAY_H_

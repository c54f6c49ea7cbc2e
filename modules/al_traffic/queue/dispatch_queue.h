#ifndef AL_TRAFFIC_QUEUE_DISPATCH_QUEUE_H_
#define AL_TRAFFIC_QUEUE_DISPATCH_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** Requests that wait for an upstream: quick and patient ones apart, each in
   order of arrival.

    Quick requests are always offered first. A request that no upstream can take
   does not hold up those behind it, which may want another model.

    Thread safety: none; used on one thread.

    @see UpstreamPool
*/
class DispatchQueue {
 public:
  /** Adds a request that leaves the queue at `give_up_at` at the latest. */
  auto Add(RequestHandle handle,
           LatencyClass latency_class,
           Instant arrived,
           Instant give_up_at) -> void;

  /** Forgets a request, as when its caller has gone. */
  auto Remove(RequestHandle handle) -> void;

  /** Offers each request to `try_dispatch`; one for which it returns true
   * leaves the queue. */
  auto Offer(const std::function<bool(RequestHandle)>& try_dispatch) -> void;

  /** The requests whose time is up; they leave the queue. */
  [[nodiscard]] auto TakeExpired(Instant now) -> std::vector<RequestHandle>;

  /** How long a new request would wait, by the age of the oldest one that
   * waits. */
  [[nodiscard]] auto ExpectedWait(Instant now, LatencyClass latency_class) const
      -> Duration;

  [[nodiscard]] auto size() const -> std::size_t {
    return this->interactive.size() + this->background.size();
  }

 private:
  struct Item {
    RequestHandle handle = 0;
    Instant arrived;
    Instant give_up_at;
  };

  std::deque<Item> interactive;
  std::deque<Item> background;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_QUEUE_DISPATCH_QUEUE_H_

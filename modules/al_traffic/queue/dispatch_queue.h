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

/** Requests that wait for an upstream, in one queue for each latency class,
   each in order of arrival.

    Interactive requests are always offered first. A request that no upstream
   can accept does not block the requests behind it, which may need another
   model.

    Thread safety: none; used on one thread.

    @see UpstreamPool
*/
class DispatchQueue {
 public:
  /** Adds a request. TakeExpired() removes it from `expires_at` on. */
  auto Add(RequestHandle handle,
           LatencyClass latency_class,
           Instant arrived,
           Instant expires_at) -> void;

  /** Removes a request, for example after its caller disconnected. */
  auto Remove(RequestHandle handle) -> void;

  /** Calls `try_dispatch` for each request in order, and removes those for
   * which it returns true. */
  auto TryDispatchAll(const std::function<bool(RequestHandle)>& try_dispatch)
      -> void;

  /** Removes and returns the requests that have expired. */
  [[nodiscard]] auto TakeExpired(Instant now) -> std::vector<RequestHandle>;

  /** The expected wait of a new request: the time for which the oldest request
   * of its latency class has waited. */
  [[nodiscard]] auto ExpectedWait(Instant now, LatencyClass latency_class) const
      -> Duration;

  /** Number of waiting requests of both latency classes. */
  [[nodiscard]] auto size() const -> std::size_t {
    return this->interactive.size() + this->background.size();
  }

 private:
  struct Item {
    RequestHandle handle = 0;
    Instant arrived;
    Instant expires_at;
  };

  std::deque<Item> interactive;
  std::deque<Item> background;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_QUEUE_DISPATCH_QUEUE_H_

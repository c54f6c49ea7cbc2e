#ifndef TESTS_SUPPORT_FAKE_UPSTREAMS_H_
#define TESTS_SUPPORT_FAKE_UPSTREAMS_H_

#include <functional>
#include <map>
#include <string>

#include "al_core/random/random_source.h"
#include "al_router/requests/incoming_request.h"
#include "al_router/requests/upstream_events.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** Simulates all upstreams, model engines and other HTTP services alike, in
   virtual time. Counts the executions of each request. */
class FakeUpstreams {
 public:
  struct Faults {
    double connection_refusal_probability =
        0.0;  ///< The connection fails before the request is sent.
    double response_loss_probability =
        0.0;  ///< The request is executed, its response is lost.
  };
  using OnCompleted = std::function<void(UpstreamCompleted)>;
  using OnFailed = std::function<void(UpstreamFailed)>;

  FakeUpstreams(EventQueue& queue, RandomSource& random)
      : queue(queue), random(random) {}

  /** Executes a request and reports the result through `on_completed` or
     `on_failed`.
      @param on_executed  called when the request reaches the upstream and its
     execution is counted. */
  auto Send(RequestHandle handle,
            int attempt,
            const IncomingRequest& request,
            const std::function<void()>& on_executed,
            const OnCompleted& on_completed,
            const OnFailed& on_failed) -> void;

  Faults faults;
  /** An execution takes between half and one and a half times as long. */
  Duration mean_execution_time = std::chrono::milliseconds(20);
  /** The number of executions by `team/key`. */
  [[nodiscard]] auto executions() const -> const std::map<std::string, int>& {
    return this->execution_counts;
  }

 private:
  EventQueue& queue;
  RandomSource& random;
  std::map<std::string, int> execution_counts;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_FAKE_UPSTREAMS_H_

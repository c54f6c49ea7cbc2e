#ifndef AL_TRAFFIC_RETRY_RETRY_BUDGET_H_
#define AL_TRAFFIC_RETRY_RETRY_BUDGET_H_

namespace auburnloft {

/** Bounds the retries of a router by a share of its requests, so that failing
   upstreams do not multiply the load.

    Thread safety: none; used on one thread.
*/
class RetryBudget {
 public:
  /** @param ratio  retries per request, over time; 0 to 1. */
  explicit RetryBudget(double ratio) : ratio(ratio) {}

  /** Changes the ratio for the requests from now on. */
  auto SetRatio(double new_ratio) -> void { this->ratio = new_ratio; }

  /** Notes a request that is sent for the first time. */
  auto RecordRequest() -> void;

  /** Takes one retry out of the budget, where there is one. */
  [[nodiscard]] auto TryTake() -> bool;

 private:
  /** Retries that may be saved up: enough for the requests of one failed
   * upstream. */
  static constexpr double kMostSaved = 10.0;

  double ratio;
  double saved = kMostSaved;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_RETRY_RETRY_BUDGET_H_

#ifndef AL_TRAFFIC_RETRY_RETRY_BUDGET_H_
#define AL_TRAFFIC_RETRY_RETRY_BUDGET_H_

namespace auburnloft {

/** Limits the retries of a router to a fraction of its requests, so that
   failing upstreams do not multiply the load.

    Thread safety: none; used on one thread.
*/
class RetryBudget {
 public:
  /** @param ratio  average retries per request; 0 to 1. */
  explicit RetryBudget(double ratio) : ratio(ratio) {}

  /** Changes the ratio for later requests. */
  auto SetRatio(double new_ratio) -> void { this->ratio = new_ratio; }

  /** Records the first attempt of a request, which adds `ratio` retries to the
   * budget. */
  auto RecordRequest() -> void;

  /** Removes one retry from the budget. @return false if less than one is
   * available. */
  [[nodiscard]] auto TryTake() -> bool;

 private:
  /** Maximum number of available retries: enough for the requests of one failed
   * upstream. */
  static constexpr double kMaxAvailable = 10.0;

  double ratio;
  double available = kMaxAvailable;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_RETRY_RETRY_BUDGET_H_

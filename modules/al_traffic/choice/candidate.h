#ifndef AL_TRAFFIC_CHOICE_CANDIDATE_H_
#define AL_TRAFFIC_CHOICE_CANDIDATE_H_

#include <cstddef>

namespace auburnloft {

/** What is known of an upstream that may take a request. */
struct Candidate {
  std::size_t index = 0;       ///< In the pool.
  double own_in_flight = 0.0;  ///< Requests of this router; exact.
  double others_in_flight =
      0.0;  ///< Requests of other routers, by the last report, decayed.
  double slots = 1.0;  ///< Requests that it runs at once.
  double prefix_match =
      0.0;  ///< Part of the prompt believed to be cached there, 0 to 1.
  bool is_same_domain = false;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_CANDIDATE_H_

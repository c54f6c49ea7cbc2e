#ifndef AL_TRAFFIC_CHOICE_CANDIDATE_H_
#define AL_TRAFFIC_CHOICE_CANDIDATE_H_

#include <cstddef>

namespace auburnloft {

/** An upstream that can accept a request, with the figures that the choice
 * depends on. */
struct Candidate {
  std::size_t index = 0;          ///< Position in UpstreamPool.
  double own_in_flight = 0.0;     ///< Requests from this router; exact.
  double others_in_flight = 0.0;  ///< Requests from other routers: the last
                                  ///< load report, weighted down by its age.
  double slots = 1.0;  ///< Requests that the upstream executes concurrently.
  double prefix_match = 0.0;    ///< Estimated share of the prompt in the
                                ///< upstream's prefix cache, 0 to 1.
  bool is_same_domain = false;  ///< Same failure domain as this router.
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_CANDIDATE_H_

#ifndef AL_TRAFFIC_CHOICE_UPSTREAM_CHOOSER_H_
#define AL_TRAFFIC_CHOICE_UPSTREAM_CHOOSER_H_

#include <concepts>
#include <cstddef>
#include <span>
#include <variant>

#include "al_core/random/random_source.h"
#include "al_traffic/choice/baseline_choosers.h"
#include "al_traffic/choice/candidate.h"
#include "al_traffic/choice/scored_chooser.h"

namespace auburnloft {

/** A policy that chooses one of several upstreams. Choose() returns the
 * position of the chosen candidate in the span. @pre the span is not empty. */
template <typename Chooser>
concept UpstreamChooser = requires(Chooser& chooser,
                                   std::span<const Candidate> candidates,
                                   RandomSource& random) {
  { chooser.Choose(candidates, random) } -> std::same_as<std::size_t>;
};

static_assert(UpstreamChooser<ScoredChooser>);
static_assert(UpstreamChooser<RandomChooser>);
static_assert(UpstreamChooser<RoundRobinChooser>);
static_assert(UpstreamChooser<LeastInFlightChooser>);

/** The chooser selected by the configuration. */
using AnyUpstreamChooser = std::variant<ScoredChooser,
                                        RandomChooser,
                                        RoundRobinChooser,
                                        LeastInFlightChooser>;

}  // namespace auburnloft

#endif  // AL_TRAFFIC_CHOICE_UPSTREAM_CHOOSER_H_

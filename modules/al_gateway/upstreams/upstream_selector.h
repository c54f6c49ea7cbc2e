#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_SELECTOR_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_SELECTOR_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "al_gateway/model/request_metadata.h"
#include "al_gateway/upstreams/prefix_affinity_table.h"
#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

/** The properties of a request by which its upstream is selected. */
struct ChoiceQuery {
  std::string_view service;
  const GenerationMetadata* generation = nullptr;  ///< Null for plain services.
  std::span<const std::string> excluded;  ///< Ids of upstreams already tried.
  /** Regions of upstreams that may be chosen; both apply. Empty: all. */
  std::span<const std::string> route_regions;
  std::span<const std::string> team_regions;
  /** The software version at which a stream has to go on; none: any. An empty
     one is that of no upstream. */
  std::optional<std::string_view> version;
  std::uint64_t memory_capacity = 0;  ///< Tokens of the generations that an
                                      ///< engine runs; 0: no limit is known.
};

/** The upstream selected for a request, with its estimates. */
struct UpstreamChoice {
  UpstreamDirectory::State upstream;
  std::uint64_t prefill_tokens = 0;  ///< Estimated tokens that are not cached.
  Duration expected{0};              ///< Estimated time to the first byte.
  Duration nominal{0};  ///< The same at an engine with the pace of its
                        ///< service's median; 0 for plain services.
  std::uint64_t memory_tokens = 0;  ///< That the request takes at the engine.
};

/** Selects the upstream with the lowest score: the estimated time to the first
   byte, including the recent excess latency, plus penalties for failures, for
   prompt tokens cached elsewhere and for another failure domain.

    A generation is not sent to an engine whose memory the known load leaves no
   room for it in, unless it is the only one there.

    Times at an engine are scaled by its learned pace, compared with the median
   of its service. Engines of about equal pace all have the factor 1.

    For a generation, each router finds the same home engine of the prompt
   without exchanging messages: the first engine in the rendezvous order of the
   prompt's last shared part, in which slower engines are the first less often.
   The selector assumes that it has the shared parts
   in its cache, and selects it unless its queue costs more than to process the
   shared parts again on another engine.

    Thread safety: none; used on one thread.
*/
class UpstreamSelector {
 public:
  /** @param domain  this router's failure domain.
      @param router  this router's name, by which the routers of a fleet prefer
                     different ones of nearly equal engines. */
  UpstreamSelector(const UpstreamDirectory& directory,
                   std::string domain,
                   std::string router = {});

  UpstreamSelector(const UpstreamSelector&) = delete;
  auto operator=(const UpstreamSelector&) -> UpstreamSelector& = delete;

  //============================================================================
  // Commands

  /** Records that the parts of a prompt were sent to `upstream`. */
  auto RecordPrompt(const GenerationMetadata& generation,
                    const UpstreamState& upstream,
                    Instant now) -> void;

  /** Updates the paces that are believed. Call it several times a second. */
  auto UpdatePaces(Instant now) -> void;

  //============================================================================
  // Queries

  /** Selects an upstream. @return none if no upstream can take the request. */
  [[nodiscard]] auto Choose(const ChoiceQuery& query, Instant now) const
      -> std::optional<UpstreamChoice>;

 private:
  struct Estimate {
    std::uint64_t prefill_tokens = 0;
    double first_byte_ms = 0.0;  ///< Without ExcessLatency().
    double nominal_ms = 0.0;     ///< The same at the pace of the median.
    double score_ms = 0.0;       ///< The lowest one is selected.
  };

  /** @param is_home  whether the upstream is the home engine of the prompt. */
  [[nodiscard]] auto EstimateFor(const UpstreamState& upstream,
                                 const ChoiceQuery& query,
                                 bool is_home,
                                 Instant now) const -> Estimate;

  const UpstreamDirectory& directory;
  std::string domain;
  std::string router;
  PrefixAffinityTable affinity;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_SELECTOR_H_

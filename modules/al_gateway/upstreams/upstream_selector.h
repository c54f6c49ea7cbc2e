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

/** What the chooser needs to know of a request. */
struct ChoiceQuery {
  std::string_view service;
  const GenerationMetadata* generation = nullptr;  ///< Null for plain services.
  std::span<const std::string> excluded;           ///< Ids that were tried.
};

/** The upstream that a request goes to. */
struct UpstreamChoice {
  UpstreamDirectory::State upstream;
  std::uint64_t prefill_tokens = 0;  ///< Tokens it is expected to read.
  Duration expected{0};              ///< Foreseen time to the first byte.
};

/** Chooses the upstream whose answer is foreseen to begin first.

    For a generation, all routers agree without talking on the engine where the
   last shared part of its prompt lives: the first in a rendezvous order of the
   engines. It is chosen unless the work that waits there outweighs reading the
   shared part again elsewhere.

    Thread safety: none; used on one thread.
*/
class UpstreamSelector {
 public:
  /** @param domain  this router's failure domain. */
  UpstreamSelector(const UpstreamDirectory& directory, std::string domain);

  UpstreamSelector(const UpstreamSelector&) = delete;
  auto operator=(const UpstreamSelector&) -> UpstreamSelector& = delete;

  //============================================================================
  // Commands

  /** Notes that the prompt's parts are read by `upstream`. */
  auto RecordPrompt(const GenerationMetadata& generation,
                    const UpstreamState& upstream,
                    Instant now) -> void;

  //============================================================================
  // Queries

  /** @return none where no upstream may take the request. */
  [[nodiscard]] auto Choose(const ChoiceQuery& query, Instant now) const
      -> std::optional<UpstreamChoice>;

 private:
  struct Estimate {
    std::uint64_t prefill_tokens = 0;
    double first_byte_ms = 0.0;  ///< Without what the upstream is late by.
    double score_ms = 0.0;
  };

  [[nodiscard]] auto EstimateFor(const UpstreamState& upstream,
                                 const ChoiceQuery& query,
                                 bool is_home,
                                 Instant now) const -> Estimate;

  const UpstreamDirectory& directory;
  std::string domain;
  PrefixAffinityTable memory;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_SELECTOR_H_

#ifndef AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_TABLE_H_
#define AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/upstreams/engine_report.h"
#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

/** What the routers that request upstream updates from this one, a reader,
   report about engines: the sums of their open requests, with this router's
   own, and paces merged from all their observations.

    What a router reported loses its weight over 5 s once the router is silent.

    Thread safety: none; used on one thread.
*/
class EngineLoadTable {
 public:
  explicit EngineLoadTable(UpstreamDirectory& directory)
      : directory(directory) {}

  EngineLoadTable(const EngineLoadTable&) = delete;
  auto operator=(const EngineLoadTable&) -> EngineLoadTable& = delete;

  //============================================================================
  // Commands

  /** Applies the report of a router. Samples out of range are left out.
      @return the number of samples that were left out. */
  [[nodiscard]] auto Apply(const EngineReport& report, Instant now)
      -> std::size_t;

  /** Sums the reports up, and sets what this router estimates of the others'
     load. Has no effect within a short time of the last update.
      @param routers  active routers of the fleet, with this one. */
  auto Update(int routers, Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the engines whose state changed after number `after` of the news;
     0 returns all with a load or a known pace. */
  [[nodiscard]] auto NewsSince(std::uint64_t after) const -> EngineNews;

 private:
  /** The load of one router at an engine. */
  struct Load {
    std::uint64_t reporter = 0;
    std::uint32_t generations = 0;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t memory_tokens = 0;
  };
  struct Entry {
    UpstreamDirectory::State upstream;  ///< Null: not listed here.
    std::vector<Load> loads;
    EngineState state;         ///< As told.
    std::uint64_t number = 0;  ///< Of the last change of `state`.
  };

  auto SetLoad(std::uint64_t reporter, const EngineSample& sample) -> void;
  auto FindUpstreams() -> void;
  auto RemoveSilentReporters(Instant now) -> void;
  /** Updates the sums of an engine and their number. */
  auto Sum(Entry& entry, Instant now) -> void;

  UpstreamDirectory& directory;
  std::unordered_map<std::uint32_t, Entry> engines;     ///< By key.
  std::unordered_map<std::uint64_t, Instant> heard_at;  ///< By reporter.
  std::uint64_t newest = 0;
  Instant updated_at{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_TABLE_H_

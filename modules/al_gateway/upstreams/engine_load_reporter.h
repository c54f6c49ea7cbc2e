#ifndef AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_REPORTER_H_
#define AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_REPORTER_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/upstreams/engine_report.h"
#include "al_gateway/upstreams/upstream_directory.h"

namespace auburnloft::gateway {

/** Tells a reader what this router has open at engines and observed there, and
   applies what the reader tells of all its routers.

    Thread safety: none; used on one thread.

    @see EngineLoadTable
*/
class EngineLoadReporter {
 public:
  /** @param reporter  identifies this process. */
  EngineLoadReporter(UpstreamDirectory& directory, std::uint64_t reporter)
      : directory(directory), reporter(reporter) {}

  EngineLoadReporter(const EngineLoadReporter&) = delete;
  auto operator=(const EngineLoadReporter&) -> EngineLoadReporter& = delete;

  //============================================================================
  // Commands

  /** Begins anew: another reader, or another life of it, knows nothing. */
  auto Reset() -> void;

  /** Returns what changed since the last report that was confirmed; everything
     if that is so long ago that the reader may have forgotten this router. */
  [[nodiscard]] auto MakeReport(Instant now) -> EngineReport;

  /** Records that the reader has the last report. */
  auto Confirm(Instant now) -> void;

  /** Applies a reader's news. States out of range are left out.
      @param routers  active routers of the fleet, with this one.
      @return the number of states that were left out. */
  [[nodiscard]] auto Apply(const EngineNews& news, int routers, Instant now)
      -> std::size_t;

  //============================================================================
  // Queries

  /** Returns the number after which to request news; 0: all. */
  [[nodiscard]] auto newest() const -> std::uint64_t {
    return this->newest_news;
  }

  /** Returns whether the reader has a report of all engines, so that the next
     one names only changes. */
  [[nodiscard]] auto is_known() const -> bool { return this->has_whole; }

 private:
  UpstreamDirectory& directory;
  std::uint64_t reporter;
  std::unordered_map<std::uint32_t, EngineLoad> reported;  ///< By engine.
  std::unordered_map<std::uint32_t, EngineLoad> sent;   ///< Not confirmed yet.
  std::unordered_map<std::uint32_t, EngineState> told;  ///< By the reader.
  std::uint64_t newest_news = 0;
  bool has_whole = false;  ///< The reader, until a Reset().
  Instant confirmed_at{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_ENGINE_LOAD_REPORTER_H_

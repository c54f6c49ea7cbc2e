#ifndef AL_TRAFFIC_UPSTREAMS_UPSTREAM_POOL_H_
#define AL_TRAFFIC_UPSTREAMS_UPSTREAM_POOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_core/random/random_source.h"
#include "al_traffic/choice/upstream_chooser.h"
#include "al_traffic/upstreams/prefix_cache_estimate.h"

namespace auburnloft {

/** An upstream's own report of its load; out of date by the time it is used. */
struct LoadReport {
  std::uint32_t running = 0;  ///< Requests in execution, from all routers.
  std::uint32_t background_running = 0;  ///< Background requests among them.
  std::uint32_t waiting = 0;             ///< Requests queued at the upstream.
  bool leaving = false;                  ///< It shuts down soon.
};

/** What a request requires of an upstream. */
struct UpstreamQuery {
  std::string model;    ///< For engines.
  std::string service;  ///< For services; empty for engines.
  LatencyClass latency_class = LatencyClass::kInteractive;
  std::span<const PrefixDigest> prefix;
  const std::set<UpstreamId>* excluded =
      nullptr;  ///< Upstreams on which this request already failed; may be
                ///< null.
};

/** The upstreams that this router uses: their load, health and slot shares.

    Thread safety: none; used on one thread.

    @see UpstreamChooser, DispatchQueue
*/
class UpstreamPool {
 public:
  /** One upstream and what this router recorded about it. */
  struct Member {
    Upstream upstream;
    std::uint32_t own_interactive =
        0;  ///< In-flight interactive requests from this router.
    std::uint32_t own_background =
        0;  ///< In-flight background requests from this router.
    LoadReport report;
    std::uint32_t own_at_report = 0;  ///< In-flight requests from this router
                                      ///< when the last report arrived.
    std::uint32_t own_background_at_report =
        0;  ///< Background requests among them.
    Instant reported_at;
    bool leaving = false;  ///< By the VM list or by its own load report.
    int consecutive_failures = 0;
    Instant ejected_until;     ///< It gets no requests before this time.
    Instant slow_start_began;  ///< Start of the last slow start; a default
                               ///< Instant if there was none.
    PrefixCacheEstimate prefixes;
    std::uint32_t background_slots =
        0;  ///< Slots for background requests from all routers.
    std::uint32_t own_background_slots =
        0;  ///< The part of them that is assigned to this router.
  };

  UpstreamPool(RouterId self, DomainId own_domain, RandomSource& random);

  //============================================================================
  // Commands

  /** Applies the upstreams of a configuration and keeps the state of those that
   * remain. @param routers the routers that share the upstreams, including this
   * one. */
  auto SetConfiguration(const Configuration& configuration,
                        std::span<const RouterId> routers) -> void;

  /** Updates which upstreams are leaving, from the VM list and their load
   * reports. */
  auto SetLeaving(Instant now,
                  const std::function<bool(const UpstreamId&)>& is_leaving)
      -> void;

  /** Chooses an upstream for a request and counts the request as in flight
   * there. Empty if no upstream can accept it now. */
  [[nodiscard]] auto TryAcquire(Instant now, const UpstreamQuery& query)
      -> std::optional<UpstreamId>;

  /** Counts a request as in flight at a given upstream, for example when a
   * stream is resumed there. */
  auto Acquire(const UpstreamId& upstream, LatencyClass latency_class) -> void;

  /** Ends the count of a request that was counted by TryAcquire() or Acquire().
   */
  auto Release(const UpstreamId& upstream, LatencyClass latency_class) -> void;

  /** Records that an attempt at an upstream succeeded or failed. Consecutive
   * failures eject the upstream for a growing time. */
  auto RecordSuccess(const UpstreamId& upstream) -> void;
  auto RecordFailure(Instant now, const UpstreamId& upstream) -> void;

  auto RecordLoadReport(Instant now,
                        const UpstreamId& upstream,
                        const LoadReport& report) -> void;
  auto RecordCached(const UpstreamId& upstream,
                    std::span<const PrefixDigest> digests) -> void;
  auto RecordEvicted(const UpstreamId& upstream, PrefixDigest digest) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto members() const -> std::span<const Member> {
    return this->all;
  }

  /** Whether any upstream serves such requests, whatever its load and health.
   */
  [[nodiscard]] auto Serves(const UpstreamQuery& query) const -> bool;

  /** Requests from this router that are in flight now. */
  [[nodiscard]] auto InFlight() const -> std::uint32_t;

 private:
  auto Find(const UpstreamId& upstream) -> Member*;
  [[nodiscard]] static auto Matches(const Member& member,
                                    const UpstreamQuery& query) -> bool;
  [[nodiscard]] auto CanAccept(Instant now,
                               const Member& member,
                               const UpstreamQuery& query) const -> bool;
  auto AssignBackgroundSlots(Member& member,
                             double share,
                             bool same_routers) const -> void;
  [[nodiscard]] static auto CanAcceptBackground(const Member& member) -> bool;
  [[nodiscard]] auto OthersInFlight(Instant now, const Member& member) const
      -> double;
  [[nodiscard]] auto SlowStartLimit(Instant now, const Member& member) const
      -> double;

  RouterId self;
  DomainId own_domain;
  RandomSource& random;
  AnyUpstreamChooser chooser;
  std::vector<RouterId>
      sharing_routers;  ///< They share the upstreams' background slots.
  std::vector<Member> all;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_UPSTREAMS_UPSTREAM_POOL_H_

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

/** What an upstream says of its load; old by the time it is read. */
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t background_running = 0;
  std::uint32_t waiting = 0;
  bool leaving = false;
};

/** What a request wants of an upstream. */
struct UpstreamQuery {
  std::string model;    ///< For engines.
  std::string service;  ///< For services; empty for engines.
  LatencyClass latency_class = LatencyClass::kInteractive;
  std::span<const PrefixDigest> prefix;
  const std::set<UpstreamId>* excluded =
      nullptr;  ///< Upstreams that failed this request.
};

/** The upstreams that this router uses: their load, health and shares.

    Thread safety: none; used on one thread.

    @see UpstreamChooser, DispatchQueue
*/
class UpstreamPool {
 public:
  struct Member {
    Upstream upstream;
    std::uint32_t own_interactive = 0;
    std::uint32_t own_background = 0;
    LoadReport report;
    std::uint32_t own_at_report = 0;
    std::uint32_t own_background_at_report = 0;
    Instant reported_at;
    bool leaving = false;  ///< By the VM list, its own word, or an operator.
    int failures_in_row = 0;
    Instant ejected_until;
    Instant slow_start_began;  ///< When it last came back.
    PrefixCacheEstimate prefixes;
    std::uint32_t background_slots = 0;  ///< For patient work of all routers.
    std::uint32_t own_background_slots =
        0;  ///< Of them, set aside for this router.
  };

  UpstreamPool(RouterId self, DomainId own_domain, RandomSource& random);

  //============================================================================
  // Commands

  /** Takes over the upstreams of a configuration; what is known of those that
     stay is kept.
      @param routers  those that share the upstreams, with this one. */
  auto SetConfiguration(const Configuration& configuration,
                        std::span<const RouterId> routers) -> void;

  /** Marks upstreams as leaving by the VM list. */
  auto SetLeaving(Instant now,
                  const std::function<bool(const UpstreamId&)>& is_leaving)
      -> void;

  /** Picks an upstream for a request and counts the request there. Empty where
     none may take it now. */
  [[nodiscard]] auto TryAcquire(Instant now, const UpstreamQuery& query)
      -> std::optional<UpstreamId>;

  /** Counts a request at an upstream that is given, as for a stream that is
   * taken up again. */
  auto Acquire(const UpstreamId& upstream, LatencyClass latency_class) -> void;

  /** Ends a request that TryAcquire() or Acquire() counted. */
  auto Release(const UpstreamId& upstream, LatencyClass latency_class) -> void;

  /** Notes that an upstream answered, or failed to. */
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

  /** Whether any upstream serves such requests, busy or not. */
  [[nodiscard]] auto Serves(const UpstreamQuery& query) const -> bool;

  /** Requests of this router that run now. */
  [[nodiscard]] auto InFlight() const -> std::uint32_t;

 private:
  auto Find(const UpstreamId& upstream) -> Member*;
  [[nodiscard]] static auto Matches(const Member& member,
                                    const UpstreamQuery& query) -> bool;
  [[nodiscard]] auto MayTake(Instant now,
                             const Member& member,
                             const UpstreamQuery& query) const -> bool;
  auto SharePatientSlots(Member& member, double share, bool same_routers) const
      -> void;
  [[nodiscard]] static auto MayTakePatient(const Member& member) -> bool;
  [[nodiscard]] auto OthersInFlight(Instant now, const Member& member) const
      -> double;
  [[nodiscard]] auto SlowStartLimit(Instant now, const Member& member) const
      -> double;

  RouterId self;
  DomainId own_domain;
  RandomSource& random;
  AnyUpstreamChooser chooser;
  std::vector<RouterId> sharers;  ///< Of the upstreams' patient slots.
  std::vector<Member> all;
};

}  // namespace auburnloft

#endif  // AL_TRAFFIC_UPSTREAMS_UPSTREAM_POOL_H_

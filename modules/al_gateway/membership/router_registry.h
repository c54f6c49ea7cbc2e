#ifndef AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_
#define AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** What a router says of itself. */
struct RouterAnnouncement {
  std::string name;
  std::string incarnation;  ///< One life of its process.
  std::string domain;
  std::string region;
  std::string client_address;  ///< Where callers connect, `ip:port`.
  std::string peer_address;    ///< Where other routers ask, `ip:port`.
  bool leaving = false;
  std::uint64_t beat = 0;  ///< Counts up with each announcement.
  std::uint64_t config_version = 0;
  std::uint64_t link_mbps = 0;  ///< Of its VM; 0: not told.
};

/** The routers of the fleet by what they announce on the log.

    A router counts as alive for a while after its last announcement. While the
   log is away nobody announces anything; queries are then asked as of the last
   time that the log was read.

    Thread safety: none; used on one thread.
*/
class RouterRegistry {
 public:
  explicit RouterRegistry(std::string own_name) : self(std::move(own_name)) {}

  RouterRegistry(const RouterRegistry&) = delete;
  auto operator=(const RouterRegistry&) -> RouterRegistry& = delete;

  //============================================================================
  // Commands

  auto Apply(RouterAnnouncement announcement, Instant now) -> void;

  /** The log was unreachable for this router until now. */
  auto RecordLogRecovery(Instant now) -> void;

  //============================================================================
  // Queries

  /** Addresses for a caller in `domain`: the living routers there, or all of
     them where those are fewer than two. */
  [[nodiscard]] auto AddressesFor(std::string_view domain, Instant now) const
      -> std::vector<std::string>;

  /** Living routers, this one included. */
  [[nodiscard]] auto CountActive(Instant now) const -> int;

  /** True where `incarnation` is the newest life that its router announced, and
     the router counts as alive. */
  [[nodiscard]] auto IsActiveIncarnation(std::string_view incarnation,
                                         Instant now) const -> bool;

  /** The living router whose newest life is `incarnation`; null where none is.
   */
  [[nodiscard]] auto FindActive(std::string_view incarnation, Instant now) const
      -> const RouterAnnouncement*;

  /** True where this router is among the `count` living ones that come first in
     the rendezvous order of `item`. All routers agree as far as they agree who
     lives. */
  [[nodiscard]] auto IsAmongHighestRanked(std::string_view item,
                                          int count,
                                          Instant now) const -> bool;

  /** Calls `visit` with each router and whether it counts as alive. */
  auto VisitAll(
      Instant now,
      const std::function<void(const RouterAnnouncement&, bool)>& visit) const
      -> void;

 private:
  struct Member {
    RouterAnnouncement said;
    Instant seen_at{};
  };

  [[nodiscard]] auto IsActive(const Member& member, Instant now) const -> bool;
  [[nodiscard]] auto alive_for() const -> Duration;

  std::string self;
  std::map<std::string, Member> members;
};

/** Pause between two announcements of a router, by the size of its fleet: a
    second up to a hundred routers, and longer in larger fleets, so that what
   one router reads of the others does not grow with the fleet. */
[[nodiscard]] auto AnnouncementInterval(std::size_t routers) -> Duration;

/** In which of a router's announcements it also reports what it has spent
   since: every one in a small fleet, and fewer the more routers read each
   report, so that what one router reads does not grow with the fleet.
    @param name  of the router; they report in turn.
    @param beat  counts its announcements. */
[[nodiscard]] auto ShouldReportSpending(std::string_view name,
                                        std::uint64_t beat,
                                        int routers) -> bool;

/** The name of the router that `incarnation` is a life of. */
[[nodiscard]] auto RouterNameOf(std::string_view incarnation)
    -> std::string_view;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_

#ifndef AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_
#define AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** A router's record about itself, appended to the log at regular intervals. */
struct RouterAnnouncement {
  std::string name;
  std::string incarnation;  ///< One start of its process.
  std::string domain;
  std::string region;
  std::string client_address;  ///< Where callers connect, `ip:port`.
  std::string peer_address;    ///< Where other routers connect, `ip:port`.
  bool leaving = false;        ///< It shuts down and takes no new callers.
  std::uint64_t beat = 0;      ///< Number of the announcement.
  std::uint64_t config_version = 0;  ///< Of its configuration.
  std::uint64_t log_era = 0;  ///< Number of the log's era, plus 1, in which it
                              ///< has written its allowance entries again; 0:
                              ///< it does not tell.
  Instant written_at{};       ///< By the clock of its VM; the epoch: unknown.
  std::uint64_t link_mbps = 0;       ///< Link bandwidth of its VM; 0: unknown.
  double requests_per_second = 0.0;  ///< That callers send to it.
};

/** The routers of the fleet, from their announcements on a topic of the log
   service ("the log").

    A router is active until a timeout after its last announcement, then it is
   expired. During an outage of the log no announcement arrives; callers then
   pass the time of the last successful read as `now`.

    Thread safety: none; used on one thread.
*/
class RouterRegistry {
 public:
  explicit RouterRegistry(std::string own_name) : self(std::move(own_name)) {}

  RouterRegistry(const RouterRegistry&) = delete;
  auto operator=(const RouterRegistry&) -> RouterRegistry& = delete;

  //============================================================================
  // Commands

  /** Applies an announcement that was read from the log. */
  auto Apply(RouterAnnouncement announcement, Instant now) -> void;

  /** Records that this router reaches the log again after an outage. Restarts
     all members' timeouts, as they could not announce anything. */
  auto RecordLogRecovery(Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto own_name() const -> const std::string& {
    return this->self;
  }

  /** Returns the client addresses for a caller in `domain` of `region`: those
     of the active routers in the domain; if these are fewer than two, in the
     region; if these are fewer than two, all. Leaving routers are left out.
      @param region  empty: unknown. */
  [[nodiscard]] auto AddressesFor(std::string_view domain,
                                  std::string_view region,
                                  Instant now) const
      -> std::vector<std::string>;

  /** Returns whether no announcement was read. */
  [[nodiscard]] auto empty() const -> bool { return this->members.empty(); }

  /** Returns the number of active routers, including this one. */
  [[nodiscard]] auto CountActive(Instant now) const -> int;

  /** Returns whether `incarnation` is the newest incarnation of its router, and
     the router is active. */
  [[nodiscard]] auto IsActiveIncarnation(std::string_view incarnation,
                                         Instant now) const -> bool;

  /** Returns the active router whose newest incarnation is `incarnation`, or
     null if there is none. Its content may change with the next Apply(). */
  [[nodiscard]] auto FindActive(std::string_view incarnation, Instant now) const
      -> const RouterAnnouncement*;

  /** Returns whether this router is among the first `count` active routers in
     the rendezvous order of `item`. Routers with the same view of the active
     members get consistent results. */
  [[nodiscard]] auto IsAmongHighestRanked(std::string_view item,
                                          int count,
                                          Instant now) const -> bool;

  /** Returns the first router in the rendezvous order of `item` among the
     others that are active and do not leave; null if there is none. Its content
     may change with the next Apply(). */
  [[nodiscard]] auto FindHighestRanked(std::string_view item, Instant now) const
      -> const RouterAnnouncement*;

  /** Returns up to `count` routers in the rendezvous order of `item` among the
     others that are active and do not leave, but each of another failure domain
     than those before it as long as there is one. Their content may change with
     the next Apply(). */
  [[nodiscard]] auto FindHighestRankedAcrossDomains(std::string_view item,
                                                    std::size_t count,
                                                    Instant now) const
      -> std::vector<const RouterAnnouncement*>;

  /** As above, but of the active routers that leave. */
  [[nodiscard]] auto FindHighestRankedLeaving(std::string_view item,
                                              std::size_t count,
                                              Instant now) const
      -> std::vector<const RouterAnnouncement*>;

  /** Returns whether all active routers but this one have announced themselves
     in an era of the log, or a later one. Those that do not tell are left out.
   */
  [[nodiscard]] auto HaveAllAnnounced(std::uint64_t log_era, Instant now) const
      -> bool;

  /** Returns whether some router, active or not, has announced itself in an era
     of the log, or a later one. */
  [[nodiscard]] auto HasAnyAnnounced(std::uint64_t log_era) const -> bool;

  /** Returns when the newest announcement was written, by its writer's clock;
     none if no announcement tells. */
  [[nodiscard]] auto NewestAnnouncementAt() const -> std::optional<Instant>;

  /** Returns whether this router is among the first `count` in the rendezvous
     order of `item` among the active routers but the one whose incarnation is
     `except`, which may be empty. */
  [[nodiscard]] auto IsAmongHighestRankedExcept(std::string_view except,
                                                std::string_view item,
                                                int count,
                                                Instant now) const -> bool;

  /** Returns the mean of the requests per second of the active routers. */
  [[nodiscard]] auto MeanRequestRate(Instant now) const -> double;

  /** Calls `visit` with each router and whether it is active. */
  auto VisitAll(
      Instant now,
      const std::function<void(const RouterAnnouncement&, bool)>& visit) const
      -> void;

 private:
  /** As FindHighestRankedAcrossDomains(), of the others that leave or of those
     that do not. */
  [[nodiscard]] auto RankAcrossDomains(std::string_view item,
                                       std::size_t count,
                                       bool leaving,
                                       Instant now) const
      -> std::vector<const RouterAnnouncement*>;

  struct Member {
    RouterAnnouncement announcement;
    Instant refreshed_at{};  ///< When it was read, or the log recovered.
  };

  [[nodiscard]] auto IsActive(const Member& member, Instant now) const -> bool;
  [[nodiscard]] auto activity_timeout() const -> Duration;

  std::string self;
  std::map<std::string, Member> members;
};

/** Returns the interval between a router's announcements: one second for up to
   100 routers, and proportionally longer in larger fleets, so that the
   announcements that each router reads per second do not grow with the fleet.
 */
[[nodiscard]] auto AnnouncementInterval(std::size_t routers) -> Duration;

/** Returns whether a router reports its spending together with an announcement:
   with each one in a small fleet, and less often in larger fleets, so that the
   reports that each router reads per second do not grow with the fleet.
    @param name     the router's name; it distributes the reports over time.
    @param number   number of the announcement.
    @param routers  active routers of the fleet. */
[[nodiscard]] auto ShouldReportSpending(std::string_view name,
                                        std::uint64_t number,
                                        int routers) -> bool;

/** Returns the name of the router to which `incarnation` belongs. */
[[nodiscard]] auto RouterNameOf(std::string_view incarnation)
    -> std::string_view;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_ROUTER_REGISTRY_H_

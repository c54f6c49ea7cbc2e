#ifndef AL_FLEET_MEMBERSHIP_MEMBERSHIP_H_
#define AL_FLEET_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "al_core/ids/incarnation.h"
#include "al_core/time/instant.h"
#include "al_fleet/membership/vm_list.h"

namespace auburnloft {

/** The routers of the fleet, from the VM list and from messages between
    routers.

    An unreachable router is not assumed to have failed: it may be partitioned
    or paused, still hold tokens and resume later. An incarnation is expired
    only on proof: its VM was in the VM list and has been removed, or a later
    incarnation of the same router has started.

    Thread safety: none; used on one thread.

    @see GossipTable, which distributes this state
*/
class Membership {
 public:
  struct Router {
    Vm vm;
    IncarnationId incarnation;  ///< The latest known; empty if none is known.
    Instant last_contact;
    std::uint32_t open_requests = 0;
    bool draining = false;  ///< The router reported it, or its VM is leaving.
  };

  Membership(IncarnationId self, Vm self_vm);

  //============================================================================
  // Commands

  /** Applies a VM list that was read at `now`. @return the routers that were
      removed from the list and are therefore expired. */
  auto OnVmList(Instant now, const VmList& list) -> std::vector<RouterId>;

  /** Records that a message of `incarnation` arrived. @return true if this
      proves that an earlier incarnation is expired. */
  auto RecordContact(Instant now, const IncarnationId& incarnation) -> bool;

  /** Records the load that a router reports, and whether it is draining. */
  auto OnHeartbeat(const IncarnationId& incarnation,
                   std::uint32_t open_requests,
                   bool is_draining) -> void;

  /** Marks all incarnations of `router` that started before `before_ms` (Unix
      milliseconds) as expired.
      @return true if the stored time was earlier. */
  auto MarkExpired(const RouterId& router, std::int64_t before_ms) -> bool;

  /** Marks `incarnation` as draining: it accepts no new callers. @return true
      if it was not marked before. */
  auto MarkDraining(const IncarnationId& incarnation) -> bool;

  //============================================================================
  // Queries

  /** True if `incarnation` is proven to be expired. */
  [[nodiscard]] auto IsExpired(const IncarnationId& incarnation) const -> bool;

  /** For each router, the time before which its incarnations are expired, in
      Unix milliseconds. */
  [[nodiscard]] auto expired_before() const
      -> const std::map<RouterId, std::int64_t>& {
    return this->expired;
  }

  /** All listed routers including this one, ordered by name. */
  [[nodiscard]] auto routers() const -> const std::map<RouterId, Router>& {
    return this->all;
  }

  /** The listed routers that are not draining, including this one if it is not,
      ordered by name. */
  [[nodiscard]] auto ActiveRouters() const -> std::vector<RouterId>;

  /** Where `router` listens for peer messages; empty if that is unknown. */
  [[nodiscard]] auto AddressOf(const RouterId& router) const
      -> std::optional<PeerAddress>;

  /** True if the VM list marks the VM of `upstream` as leaving. */
  [[nodiscard]] auto IsUpstreamLeaving(const UpstreamId& upstream) const
      -> bool;

  /** True if a VM list was applied and marks this router's VM as leaving. */
  [[nodiscard]] auto IsSelfLeaving() const -> bool;

 private:
  IncarnationId self;
  RouterId self_name;
  std::map<RouterId, Router> all;
  std::map<RouterId, std::int64_t> expired;
  std::set<IncarnationId> draining_incarnations;
  std::set<UpstreamId> leaving_upstreams;
  bool self_leaving = false;
};

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_MEMBERSHIP_H_

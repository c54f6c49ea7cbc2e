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

/** The routers of the fleet, from the VM list and from what they tell each
   other.

    Silence is not death: a router that is cut off or paused may still hold
   tokens and wake up. An incarnation is dead only for a fact: its VM was listed
   here and is gone from the list, or a later incarnation of the same router has
   bound its address.

    Thread safety: none; used on one thread.

    @see GossipTable, which spreads the facts
*/
class Membership {
 public:
  struct Router {
    Vm vm;
    IncarnationId incarnation;  ///< The latest heard of; empty where none was.
    Instant last_contact;
    std::uint32_t open_requests = 0;
    bool draining = false;  ///< By its own word, or the VM is leaving.
  };

  Membership(IncarnationId self, Vm self_vm);

  //============================================================================
  // Commands

  /** Takes in a VM list that was read at `now`. @return routers that it proves
   * dead. */
  auto OnVmList(Instant now, const VmList& list) -> std::vector<RouterId>;

  /** Notes that `incarnation` spoke. @return true where that proves an earlier
   * one dead. */
  auto RecordContact(Instant now, const IncarnationId& incarnation) -> bool;

  /** Notes the load that a router reports, and whether it drains. */
  auto OnHeartbeat(const IncarnationId& incarnation,
                   std::uint32_t open_requests,
                   bool is_draining) -> void;

  /** Learns that all incarnations of `router` that started before `before_ms`
     are dead.
      @return true where that is news. */
  auto MarkExpired(const RouterId& router, std::int64_t before_ms) -> bool;

  /** Learns that `incarnation` takes no new callers. @return true where that is
   * news. */
  auto MarkDraining(const IncarnationId& incarnation) -> bool;

  //============================================================================
  // Queries

  /** True where a fact says that `incarnation` is dead. */
  [[nodiscard]] auto IsExpired(const IncarnationId& incarnation) const -> bool;

  /** For each router the time before which its incarnations are dead, in Unix
   * milliseconds. */
  [[nodiscard]] auto expired_before() const
      -> const std::map<RouterId, std::int64_t>& {
    return this->expired;
  }

  /** All listed routers, with this one, in order of their names. */
  [[nodiscard]] auto routers() const -> const std::map<RouterId, Router>& {
    return this->all;
  }

  /** The listed routers that do not drain, with this one where it does not, in
   * order. */
  [[nodiscard]] auto ActiveRouters() const -> std::vector<RouterId>;

  [[nodiscard]] auto AddressOf(const RouterId& router) const
      -> std::optional<PeerAddress>;

  /** True where the VM list marks the upstream of that name as leaving. */
  [[nodiscard]] auto IsUpstreamLeaving(const UpstreamId& upstream) const
      -> bool;

  /** True where the list was read and marks this router's own VM as leaving. */
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

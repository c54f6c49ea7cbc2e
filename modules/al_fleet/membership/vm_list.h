#ifndef AL_FLEET_MEMBERSHIP_VM_LIST_H_
#define AL_FLEET_MEMBERSHIP_VM_LIST_H_

#include <string>
#include <vector>

#include "al_actions/action.h"
#include "al_core/ids/ids.h"

namespace auburnloft {

/** Whether the platform is about to take a VM away. */
enum class VmState { kActive, kLeaving };

/** One row of the platform's VM list. */
struct Vm {
  std::string name;  ///< Of a router, or of an upstream.
  std::string role;  ///< `router` or `upstream`.
  DomainId domain;
  std::string
      http_address;  ///< Where callers connect, as `ip:port`; routers only.
  PeerAddress peer_address;  ///< Where peers connect; routers only.
  VmState state = VmState::kActive;
};

/** The platform's list of VMs. It lags: a VM that is gone may still stand in
   it. The platform lists a VM before its processes start, and never drops one
   that lives. */
using VmList = std::vector<Vm>;

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_VM_LIST_H_

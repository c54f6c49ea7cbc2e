#ifndef AL_FLEET_MEMBERSHIP_VM_LIST_H_
#define AL_FLEET_MEMBERSHIP_VM_LIST_H_

#include <string>
#include <vector>

#include "al_actions/action.h"
#include "al_core/ids/ids.h"

namespace auburnloft {

/** Whether the platform is about to remove a VM. */
enum class VmState { kActive, kLeaving };

/** One row of the platform's VM list. */
struct Vm {
  std::string name;  ///< Name of the router or upstream that runs on the VM.
  std::string role;  ///< `router` or `upstream`.
  DomainId domain;
  std::string
      http_address;  ///< Where callers connect, as `ip:port`; routers only.
  PeerAddress peer_address;  ///< Where peers connect; routers only.
  VmState state = VmState::kActive;
};

/** The platform's list of VMs. It may be out of date: a VM that no longer
    exists may still be listed. The platform lists a VM before its processes
    start, and never removes a VM that still exists. */
using VmList = std::vector<Vm>;

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_VM_LIST_H_

#ifndef AL_ROUTER_CORE_ROUTER_SETTINGS_H_
#define AL_ROUTER_CORE_ROUTER_SETTINGS_H_

#include <cstdint>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/vm_list.h"

namespace auburnloft {

/** Identity and settings of a router process, fixed at its start. */
struct RouterSettings {
  RouterId name;
  IncarnationId incarnation;
  Vm vm;  ///< Its own entry of the VM list: addresses and failure domain.
  std::uint64_t seed = 1;  ///< Seed of its random choices.
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_ROUTER_SETTINGS_H_

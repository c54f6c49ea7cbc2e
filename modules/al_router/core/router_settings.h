#ifndef AL_ROUTER_CORE_ROUTER_SETTINGS_H_
#define AL_ROUTER_CORE_ROUTER_SETTINGS_H_

#include <cstdint>

#include "al_core/ids/ids.h"
#include "al_fleet/membership/vm_list.h"

namespace auburnloft {

/** What a router process knows of itself when it starts. */
struct RouterSettings {
  RouterId name;
  IncarnationId incarnation;
  Vm vm;                   ///< Its own row: addresses and failure domain.
  std::uint64_t seed = 1;  ///< Of its random choices.
};

}  // namespace auburnloft

#endif  // AL_ROUTER_CORE_ROUTER_SETTINGS_H_

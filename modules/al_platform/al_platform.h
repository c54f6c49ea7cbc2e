/** Module al_platform: the platform's services over HTTP.

    Another platform's protocol is another module like this one: the decisions
   know only the actions and events of al_actions.

    Depends on: al_edge, al_actions, al_fleet (the rows of the VM list),
   nlohmann-json.

    Parts:
    - log/   LogClient
    - vms/   VmListClient
*/
#ifndef AL_PLATFORM_AL_PLATFORM_H_
#define AL_PLATFORM_AL_PLATFORM_H_

#include "al_platform/log/log_client.h"
#include "al_platform/vms/vm_list_client.h"

#endif  // AL_PLATFORM_AL_PLATFORM_H_

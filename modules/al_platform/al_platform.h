/** Module al_platform: HTTP clients of the platform's services.

    The protocol of another platform would be another module like this one:
    RouterCore uses only the actions and events of al_actions.

    Depends on: al_http1, al_actions, al_fleet (the rows of the VM list),
    nlohmann-json.

    Parts:
    - log/   LogClient: appends and reads records of the log service
    - vms/   VmListClient: fetches the list of VMs
*/
#ifndef AL_PLATFORM_AL_PLATFORM_H_
#define AL_PLATFORM_AL_PLATFORM_H_

#include "al_platform/log/log_client.h"
#include "al_platform/vms/vm_list_client.h"

#endif  // AL_PLATFORM_AL_PLATFORM_H_

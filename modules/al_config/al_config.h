/** Module al_config: the fleet's configuration, its checks, and its versions on
   the log.

    Depends on: al_core, al_actions, nlohmann-json, protobuf (records).

    Parts:
    - model/     Configuration: the typed configuration that the other modules
   read
    - check/     ConfigurationParser and JsonReader: from JSON to the model,
   with all findings
    - fold/      ConfigStateMachine (versions as a fold over the stream) and
   ConfigFollower (its reader)
*/
#ifndef AL_CONFIG_AL_CONFIG_H_
#define AL_CONFIG_AL_CONFIG_H_

#include "al_config/check/configuration_parser.h"
#include "al_config/model/configuration.h"
#include "al_config/replay/config_follower.h"
#include "al_config/replay/config_state_machine.h"

#endif  // AL_CONFIG_AL_CONFIG_H_

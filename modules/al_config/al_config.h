/** Module al_config: the fleet's configuration, its checks, and its versions in
   the log service.

    Depends on: al_core, al_actions, nlohmann-json, protobuf (records).

    Parts:
    - model/     Configuration: the typed configuration that the other modules
   read
    - check/     ParseConfiguration() and JsonReader: parse JSON into the model
   and report every finding
    - replay/    ConfigStateMachine (applies the records of the stream in
   order) and ConfigFollower (reads the stream and exchanges versions with
   neighbours)
*/
#ifndef AL_CONFIG_AL_CONFIG_H_
#define AL_CONFIG_AL_CONFIG_H_

#include "al_config/check/configuration_parser.h"
#include "al_config/model/configuration.h"
#include "al_config/replay/config_follower.h"
#include "al_config/replay/config_state_machine.h"

#endif  // AL_CONFIG_AL_CONFIG_H_

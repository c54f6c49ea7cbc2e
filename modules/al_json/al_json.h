/** Module al_json: JSON that others wrote.

    What has another type than expected, or is out of range, is absent, and
   never an exception: callers, upstreams and the platform may send anything.

    Depends on: nlohmann-json.

    Parts:
    - json_reading.h   parsing, and members by name and type
*/
#ifndef AL_JSON_AL_JSON_H_
#define AL_JSON_AL_JSON_H_

#include "al_json/json_reading.h"

#endif  // AL_JSON_AL_JSON_H_

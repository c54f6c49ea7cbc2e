#ifndef PROGRAMS_CTL_FLEET_READER_H_
#define PROGRAMS_CTL_FLEET_READER_H_

#include <string>

#include "al_core/time/instant.h"

namespace auburnloft {

class FleetView;

/** Reads a fleet's view from the platform's log: lists it, then watches it for
    a while to see who lives.

    @param log_address  `ip:port`.
    @param watch        a second and a half sees each living router once.
    @return false where the log did not answer in time, or holds no
            configuration that can be read; the reason is on standard error.
*/
[[nodiscard]] auto ReadFleet(const std::string& log_address,
                             Duration watch_time,
                             FleetView& view) -> bool;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_READER_H_

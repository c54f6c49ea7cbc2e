#ifndef PROGRAMS_CTL_FLEET_READER_H_
#define PROGRAMS_CTL_FLEET_READER_H_

#include <string>

#include "al_core/time/instant.h"

namespace auburnloft {

class FleetView;

/** Fills a FleetView from the log service ("the log"): reads the newest record
    of each key, then follows the log to see which routers are active.

    Blocks until this is done.

    @param log_address  `ip:port`.
    @param watch_time   how long to follow the log. Routers announce themselves
                        every second, so 1.5 s includes each active one, in
                        fleets of up to 100 routers; more routers announce
                        themselves less often and need more time.
    @return false if the log did not reply in time; the reason is on standard
            error.
*/
[[nodiscard]] auto ReadFleet(const std::string& log_address,
                             Duration watch_time,
                             FleetView& view) -> bool;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_READER_H_

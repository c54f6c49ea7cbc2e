#ifndef SUPPORT_FREE_PORT_H_
#define SUPPORT_FREE_PORT_H_

#include <string>

namespace auburnloft::testing {

/** Returns the loopback address, `ip:port`, of the listener `name`, with a port
   that the system chose at the first call.

    The port stays reserved until the process exits: a socket that never listens
   is bound to it, so that no other process gets it, while a listener of this
   process may bind it too, as both allow the reuse of addresses.
   Throws std::runtime_error if the system has no port left. */
[[nodiscard]] auto AddressFor(const std::string& name) -> const std::string&;

}  // namespace auburnloft::testing

#endif  // SUPPORT_FREE_PORT_H_

#ifndef AL_GATEWAY_LIMITS_CONNECTION_SHEDDING_H_
#define AL_GATEWAY_LIMITS_CONNECTION_SHEDDING_H_

namespace auburnloft::gateway {

/** Returns the fraction of responses after which a router closes the caller's
   connection, because it gets much more than its share of the fleet's requests.

    Callers choose a router at random for each new connection, and keep it for
   as long as it stays open. A caller that sends many times its usual requests
   on the connections that it has can overload a small VM, while the others of
   the fleet are idle. It looks up an address again after a close.

    @param own_rate   requests per second to this router.
    @param mean_rate  mean of all routers; 0 if it is not known. */
[[nodiscard]] auto ConnectionCloseFraction(double own_rate, double mean_rate)
    -> double;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_LIMITS_CONNECTION_SHEDDING_H_

#ifndef AL_GATEWAY_ADMISSION_CONNECTION_SHARE_H_
#define AL_GATEWAY_ADMISSION_CONNECTION_SHARE_H_

namespace auburnloft::gateway {

/** Returns the most connections of one router to one upstream: a part that is
   equal for all routers, and a part by the router's demand. At least 1.

    The sum over all routers stays within the limit as long as their views of
    their demand add up to at most two and a half times the true demand.
    @param max_connections  the upstream's limit, from all routers together.
    @param routers          active routers in the fleet; at least 1.
    @param load_ratio       this router's requests per second divided by the
                            mean of the fleet's routers; 1 if unknown. */
[[nodiscard]] auto ConnectionShare(int max_connections,
                                   int routers,
                                   double load_ratio) -> int;

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_CONNECTION_SHARE_H_

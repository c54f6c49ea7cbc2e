#ifndef GATEWAY_RESPONSE_FAULTS_H_
#define GATEWAY_RESPONSE_FAULTS_H_

#include <cstddef>
#include <string_view>

/** Checks of the streams that upstreams send.

    Thread safety: none; used on one thread.
*/
namespace auburnloft {
struct Http1ResponseHead;
}

namespace auburnloft::gateway {

class EventSplitter;

/** Returns why the bytes received so far are no valid stream; empty if they may
   be one.
    @param pending_bytes  of comments since the last event. */
[[nodiscard]] auto FaultOfEvents(const EventSplitter& events,
                                 std::size_t pending_bytes) -> std::string_view;

/** Returns whether a stream that has ended is not complete.
    @param head         of the last attempt's response.
    @param has_started  whether events were passed on to the caller. */
[[nodiscard]] auto IsStreamBrokenOff(const Http1ResponseHead& head,
                                     const EventSplitter& events,
                                     bool has_started) -> bool;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_RESPONSE_FAULTS_H_

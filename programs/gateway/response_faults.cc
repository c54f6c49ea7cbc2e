#include "gateway/response_faults.h"

#include "al_gateway/streams/event_splitter.h"
#include "al_http1/http1_message.h"

namespace auburnloft::gateway {

auto FaultOfEvents(const EventSplitter& events, std::size_t pending_bytes)
    -> std::string_view {
  if (events.is_too_long() || pending_bytes > EventSplitter::kMaxEventBytes) {
    return "no event within the maximum size";
  }
  return events.has_only_repeats() ? "the same events without end" : "";
}

auto IsStreamBrokenOff(const Http1ResponseHead& head,
                       const EventSplitter& events,
                       bool has_started) -> bool {
  // A text without events is no continuation of a stream, though it may be the
  // whole answer to a request whose stream has not begun.
  const bool is_text = !events.has_event() && !events.rest().empty();
  return events.IsBrokenOff(!head.ends_with_connection) ||
         (has_started && is_text);
}

}  // namespace auburnloft::gateway

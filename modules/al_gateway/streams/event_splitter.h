#ifndef AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
#define AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnloft::gateway {

/** Cuts the bytes of an event stream at the ends of events, counts the events
   and follows their ids. Source: HTML standard, section 9.2, server-sent
   events.

    A router passes only whole events on, so that a stream can go on at another
    upstream behind the last one.

    Thread safety: none; used on one thread.
*/
class EventSplitter {
 public:
  /** Takes bytes. @return the whole events that they complete. After Resume(),
     events up to the last id before are left out. */
  [[nodiscard]] auto Feed(std::string_view bytes) -> std::string;

  /** The stream goes on in a new run: bytes of an event that was cut off are
     dropped, and events that were passed on already are left out. */
  auto Resume() -> void;

  /** Bytes after the last whole event. */
  [[nodiscard]] auto rest() const -> std::string_view { return this->partial; }

  /** Whole events that Feed() returned. */
  [[nodiscard]] auto event_count() const -> std::uint64_t {
    return this->events;
  }

  /** The id of the last event that Feed() returned. */
  [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> {
    return this->id;
  }

  /** True where an event was missing between two that came. */
  [[nodiscard]] auto has_gap() const -> bool { return this->gap; }

 private:
  auto Accept(std::string_view event) -> bool;

  std::string partial;
  std::uint64_t events = 0;
  std::optional<std::uint64_t> id;
  bool gap = false;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

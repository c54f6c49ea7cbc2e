#ifndef AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
#define AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnloft::gateway {

/** Splits the bytes of an event stream into complete events, counts them and
   tracks their ids. Source: HTML standard, section 9.2, server-sent events.

    A router forwards only complete events, so that another upstream can resume
   the stream after the last one. Comments, which some servers send to keep a
   connection open, are returned like events but not counted: an upstream that
   sends only comments makes no progress.

    Thread safety: none; used on one thread.
*/
class EventSplitter {
 public:
  /** Maximum size of one event: far above the few hundred bytes of an event
     with some tokens, far below the memory of a small VM. */
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  /** Maximum size of events in a row that were returned before. */
  static constexpr std::size_t kMaxRepeatedBytes = std::size_t{1024} * 1024;

  /** Adds bytes of the stream.
      @return the events that these bytes complete. Events whose id is not
     higher than the last one are dropped, as another upstream may repeat them.
   */
  [[nodiscard]] auto Feed(std::string_view bytes) -> std::string;

  /** Prepares for the stream of another attempt: drops the bytes of an
     incomplete event. Feed() then drops the events that it has returned before.
   */
  auto Resume() -> void;

  /** Returns whether the bytes after the last complete event exceed the
     maximum size of an event: the upstream does not send events. */
  [[nodiscard]] auto is_too_long() const -> bool;

  /** Returns whether more events in a row were dropped, as they were returned
     before, than an upstream sends that repeats a stream from its start: the
     upstream makes no progress. */
  [[nodiscard]] auto has_only_repeats() const -> bool {
    return this->repeated_bytes > kMaxRepeatedBytes;
  }

  /** Returns whether a stream that ends now was broken off: within an event, or
     by the close of the connection before its first event.

      A body that has a length or chunks and no event at all is complete, since
      it is no event stream, for example a message about an error.
      @param has_framing  whether a length or the last chunk marked the end,
     rather than the close of the connection. */
  [[nodiscard]] auto IsBrokenOff(bool has_framing) const -> bool;

  /** Returns the bytes after the last complete event. */
  [[nodiscard]] auto rest() const -> std::string_view { return this->partial; }

  /** Returns the number of events that Feed() returned, without comments. */
  [[nodiscard]] auto event_count() const -> std::uint64_t {
    return this->events;
  }

  /** Returns whether the current attempt has sent an event, be it one that
     another attempt had sent before. */
  [[nodiscard]] auto has_event() const -> bool { return this->received_event; }

  /** Returns the id of the last event with an id that Feed() returned. */
  [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> {
    return this->id;
  }

  /** Returns whether an id between two received events was missing. */
  [[nodiscard]] auto has_gap() const -> bool { return this->gap; }

 private:
  /** Records an event. @return false if it was returned before. */
  auto Accept(std::string_view event) -> bool;

  std::string partial;
  std::size_t repeated_bytes = 0;  ///< Since an event was returned.
  bool received_event = false;     ///< Since Resume().
  std::uint64_t events = 0;
  std::optional<std::uint64_t> id;
  bool gap = false;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

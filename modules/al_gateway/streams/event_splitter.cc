#include "al_gateway/streams/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace auburnloft::gateway {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

/** Returns whether the event has only comment lines, which begin with a colon.
 */
auto IsComment(std::string_view event) -> bool {
  bool at_line_start = true;
  for (const char letter : event) {
    if (at_line_start && letter != ':' && letter != '\n') {
      return false;
    }
    at_line_start = letter == '\n';
  }
  return true;
}

/** Returns the number in the event's `id:` line, if there is one. */
auto ReadEventId(std::string_view event) -> std::optional<std::uint64_t> {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      std::uint64_t value = 0;
      const auto [stop, error] =
          std::from_chars(line.data(), line.data() + line.size(), value);
      return error == std::errc() ? std::optional(value) : std::nullopt;
    }
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
  }
  return std::nullopt;
}

}  // namespace

auto EventSplitter::Feed(std::string_view bytes) -> std::string {
  // Searches only what is new: a long event that arrives in small parts would
  // take quadratic time.
  const std::size_t searched =
      this->partial.size() - std::min<std::size_t>(this->partial.size(), 1);
  this->partial.append(bytes);
  std::string complete_events;
  std::size_t from = 0;
  for (std::size_t end = this->partial.find(kEventEnd, searched);
       end != std::string::npos; end = this->partial.find(kEventEnd, from)) {
    const std::string_view event =
        std::string_view(this->partial)
            .substr(from, end + kEventEnd.size() - from);
    if (IsComment(event)) {
      complete_events.append(event);
    } else if (this->Accept(event)) {
      complete_events.append(event);
      this->repeated_bytes = 0;
    } else {
      this->repeated_bytes += event.size();
    }
    from = end + kEventEnd.size();
  }
  this->partial.erase(0, from);
  return complete_events;
}

auto EventSplitter::Resume() -> void {
  this->partial.clear();
  this->repeated_bytes = 0;
  this->received_event = false;
}

auto EventSplitter::is_too_long() const -> bool {
  return this->partial.size() > kMaxEventBytes;
}

auto EventSplitter::IsBrokenOff(bool has_framing) const -> bool {
  return this->partial.empty() ? !has_framing && !this->received_event
                               : !has_framing || this->received_event;
}

auto EventSplitter::Accept(std::string_view event) -> bool {
  this->received_event = true;
  const std::optional<std::uint64_t> next = ReadEventId(event);
  if (next && this->id) {
    if (*next <= *this->id) {
      return false;
    }
    this->gap = this->gap || *next != *this->id + 1;
  }
  if (next) {
    this->id = next;
  }
  ++this->events;
  return true;
}

}  // namespace auburnloft::gateway

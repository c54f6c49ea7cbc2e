#include "al_edge/http/sse_parser.h"

namespace auburnloft {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

auto FieldValue(std::string_view line, std::string_view field)
    -> std::string_view {
  std::string_view value = line.substr(field.size());
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

auto ParseEvent(std::string_view text) -> SseEvent {
  SseEvent event;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    if (line.starts_with("id:")) {
      event.id = FieldValue(line, "id:");
    } else if (line.starts_with("data:")) {
      event.data = FieldValue(line, "data:");
    }
  }
  return event;
}

}  // namespace

auto SseParser::Feed(std::string_view bytes, const OnEvent& on_event) -> bool {
  this->pending += bytes;
  std::size_t begin = 0;
  for (std::size_t end = this->pending.find(kEventEnd);
       end != std::string::npos; end = this->pending.find(kEventEnd, begin)) {
    on_event(
        ParseEvent(std::string_view(this->pending).substr(begin, end - begin)));
    begin = end + kEventEnd.size();
  }
  this->pending.erase(0, begin);
  return this->pending.size() <= kMaxEventBytes;
}

}  // namespace auburnloft

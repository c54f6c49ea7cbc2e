#ifndef AL_EDGE_HTTP_SSE_PARSER_H_
#define AL_EDGE_HTTP_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace auburnloft {

/** One server-sent event. The views are valid during the callback. */
struct SseEvent {
  std::string_view id;
  std::string_view data;
};

/** Cuts a byte stream into server-sent events, however the bytes are divided.

    Source: the HTML standard, section 9.2. Events with several data lines are
   not used by the interfaces spoken here; their last data line counts.

    Thread safety: none.
*/
class SseParser {
 public:
  using OnEvent = std::function<void(const SseEvent& event)>;

  /** An event longer than this is a fault of the sender. */
  static constexpr std::size_t kMaxEventBytes = 1'048'576;

  /** Takes in bytes and calls `on_event` for each event that they complete.
      @return false where an event is too long. */
  [[nodiscard]] auto Feed(std::string_view bytes, const OnEvent& on_event)
      -> bool;

 private:
  std::string pending;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_SSE_PARSER_H_

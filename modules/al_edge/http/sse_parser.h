#ifndef AL_EDGE_HTTP_SSE_PARSER_H_
#define AL_EDGE_HTTP_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace auburnloft {

/** One server-sent event. The views are valid only during the callback. */
struct SseEvent {
  std::string_view id;
  std::string_view data;
};

/** An incremental parser of server-sent events (HTML standard, section 9.2).

    An event may be split across calls of Feed(). Lines end in LF; CRLF is not
   supported. If an event has several data lines, only the last is returned; no
   interface of this project sends such events.

    Thread safety: none.
*/
class SseParser {
 public:
  using OnEvent = std::function<void(const SseEvent& event)>;

  /** Maximum size of an event that is not complete yet. A sender that exceeds
     it is faulty. */
  static constexpr std::size_t kMaxEventBytes = 1'048'576;

  /** Parses bytes and calls `on_event` for each event that they complete.
      @return false if an incomplete event exceeds kMaxEventBytes. */
  [[nodiscard]] auto Feed(std::string_view bytes, const OnEvent& on_event)
      -> bool;

 private:
  std::string pending;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_SSE_PARSER_H_

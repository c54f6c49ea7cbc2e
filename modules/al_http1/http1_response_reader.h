#ifndef AL_HTTP1_HTTP1_RESPONSE_READER_H_
#define AL_HTTP1_HTTP1_RESPONSE_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "al_http1/http1_message.h"

namespace auburnloft {

/** An incremental parser of one response, which returns the body in parts.

    The body has a Content-Length, is chunked, or extends to the end of the
   connection.

    Thread safety: none; use on one thread.
*/
class Http1ResponseReader {
 public:
  /** @param is_head_request  whether the method was HEAD, so that the response
   * has no body.
   */
  explicit Http1ResponseReader(bool is_head_request);
  ~Http1ResponseReader();

  Http1ResponseReader(const Http1ResponseReader&) = delete;
  auto operator=(const Http1ResponseReader&) -> Http1ResponseReader& = delete;

  /** Parses bytes. @return the number of bytes consumed; pass the remainder
     again when more have arrived. @pre !is_done() && !has_failed(). */
  auto Feed(std::string_view bytes) -> std::size_t;

  /** Reports that the server closed the connection. This completes a body that
     extends to the end of the connection; in all other cases parsing fails. */
  auto FeedEnd() -> void;

  /** Removes and returns the body bytes parsed since the last call. */
  [[nodiscard]] auto TakeBody() -> std::string;

  /** Status line and header fields. @pre has_header(). */
  [[nodiscard]] auto Head() const -> Http1ResponseHead;

  [[nodiscard]] auto has_started() const -> bool { return this->has_bytes; }
  [[nodiscard]] auto has_header() const -> bool;
  [[nodiscard]] auto is_done() const -> bool;

  /** True if the response is malformed or truncated. */
  [[nodiscard]] auto has_failed() const -> bool { return this->parse_failed; }

 private:
  struct Parser;

  std::unique_ptr<Parser> parser;
  bool has_bytes = false;
  bool parse_failed = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_RESPONSE_READER_H_

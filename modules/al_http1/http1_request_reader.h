#ifndef AL_HTTP1_HTTP1_REQUEST_READER_H_
#define AL_HTTP1_HTTP1_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "al_http1/http1_message.h"

namespace auburnloft {

/** What a caller may send at most. */
struct Http1RequestLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
};

/** Reads one request from bytes, with its body sized or chunked.

    Rejects what two parsers could take differently: a length beside chunks, two
   lengths, spaces before the colon, a bare line feed.

    Thread safety: none; used on one thread.
*/
class Http1RequestReader {
 public:
  explicit Http1RequestReader(const Http1RequestLimits& limits);
  ~Http1RequestReader();

  Http1RequestReader(const Http1RequestReader&) = delete;
  auto operator=(const Http1RequestReader&) -> Http1RequestReader& = delete;

  /** Takes bytes. @return how many it used; the rest is to be fed again
     together with more. @pre !done() && error_status() == 0. */
  auto Feed(std::string_view bytes) -> std::size_t;

  /** Hands the request out. @pre done(). */
  [[nodiscard]] auto TakeRequest() -> Http1Request;

  [[nodiscard]] auto is_done() const -> bool;

  /** True from the first byte on. */
  [[nodiscard]] auto has_started() const -> bool { return this->has_bytes; }

  /** True once the header is read. */
  [[nodiscard]] auto has_header() const -> bool;

  /** True where the caller waits for `100 Continue` before it sends its body.
   */
  [[nodiscard]] auto expects_continue() const -> bool;

  /** The status to refuse the request with; 0 where it is proper so far. */
  [[nodiscard]] auto error_status() const -> int { return this->error; }

 private:
  struct Parser;

  std::unique_ptr<Parser> parser;
  bool has_bytes = false;
  int error = 0;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_REQUEST_READER_H_

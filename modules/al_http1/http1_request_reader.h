#ifndef AL_HTTP1_HTTP1_REQUEST_READER_H_
#define AL_HTTP1_HTTP1_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "al_http1/http1_message.h"

namespace auburnloft {

/** Maximum sizes of a request. */
struct Http1RequestLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;

  /** Number of header fields. A caller has a few dozen; each takes 64 bytes of
     memory beyond its own, so that 4,000 short ones would fit into a header. */
  std::size_t fields = 128;
};

/** The parsed head of a request whose body may not have arrived. Valid until
    the reader is used again. */
struct Http1RequestHead {
  const std::string& method;
  const std::string& target;
  const Http1Fields& fields;
};

/** An incremental parser of one request.

    The body has a Content-Length or is chunked. Rejects input that two parsers
   may interpret differently (request smuggling): Content-Length together with
   chunked encoding, two Content-Length fields, a transfer coding other than
   `chunked`, a space before the colon of a field, and a line feed without a
   carriage return.

    Thread safety: none; use on one thread.
*/
class Http1RequestReader {
 public:
  explicit Http1RequestReader(const Http1RequestLimits& limits);
  ~Http1RequestReader();

  Http1RequestReader(const Http1RequestReader&) = delete;
  auto operator=(const Http1RequestReader&) -> Http1RequestReader& = delete;

  /** Parses bytes. @return the number of bytes consumed; pass the remainder
     again when more have arrived. @pre !is_done() && error_status() == 0. */
  auto Feed(std::string_view bytes) -> std::size_t;

  /** Moves the request out of the reader. @pre is_done(). */
  [[nodiscard]] auto TakeRequest() -> Http1Request;

  /** True once the request is complete. */
  [[nodiscard]] auto is_done() const -> bool;

  /** True once a byte was parsed. */
  [[nodiscard]] auto has_started() const -> bool { return this->has_bytes; }

  /** True once the header is complete. */
  [[nodiscard]] auto has_header() const -> bool;

  /** True if the header contains `Expect: 100-continue`: the caller waits for
     `100 Continue` before it sends the body. */
  [[nodiscard]] auto expects_continue() const -> bool;

  /** The parsed head. @pre has_header(). */
  [[nodiscard]] auto Head() const -> Http1RequestHead;

  /** Memory that the parsed part of the request takes, in bytes. */
  [[nodiscard]] auto memory_bytes() const -> std::size_t;

  /** Size of what has arrived of the body. */
  [[nodiscard]] auto body_bytes() const -> std::size_t;

  /** The HTTP status with which to reject the request, or 0 if it is valid so
     far. */
  [[nodiscard]] auto error_status() const -> int { return this->error; }

 private:
  struct Parser;

  std::unique_ptr<Parser> parser;
  bool has_bytes = false;
  int error = 0;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_REQUEST_READER_H_

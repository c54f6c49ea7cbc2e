#ifndef AL_HTTP1_HTTP1_RESPONSE_READER_H_
#define AL_HTTP1_HTTP1_RESPONSE_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "al_http1/http1_message.h"

namespace auburnloft {

/** Reads one answer from bytes; its body is handed out as it arrives.

    The body is sized, chunked, or ends with the connection.

    Thread safety: none; used on one thread.
*/
class Http1ResponseReader {
 public:
  /** @param is_head_request  whether the request was a HEAD, whose answer has
   * no body.
   */
  explicit Http1ResponseReader(bool is_head_request);
  ~Http1ResponseReader();

  Http1ResponseReader(const Http1ResponseReader&) = delete;
  auto operator=(const Http1ResponseReader&) -> Http1ResponseReader& = delete;

  /** Takes bytes. @return how many it used; the rest is to be fed again
     together with more. @pre !done() && !failed(). */
  auto Feed(std::string_view bytes) -> std::size_t;

  /** Tells that the server sent the end of its bytes. A body that ends with the
     connection is done by this, any other has failed. */
  auto FeedEnd() -> void;

  /** The body bytes since the last call. */
  [[nodiscard]] auto TakeBody() -> std::string;

  /** Status and fields. @pre has_header(). */
  [[nodiscard]] auto Head() const -> Http1ResponseHead;

  [[nodiscard]] auto has_started() const -> bool { return this->has_bytes; }
  [[nodiscard]] auto has_header() const -> bool;
  [[nodiscard]] auto is_done() const -> bool;

  /** True where the bytes are no answer of the protocol. */
  [[nodiscard]] auto has_failed() const -> bool { return this->is_malformed; }

 private:
  struct Parser;

  std::unique_ptr<Parser> parser;
  bool has_bytes = false;
  bool is_malformed = false;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_RESPONSE_READER_H_

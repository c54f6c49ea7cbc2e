#ifndef AL_HTTP1_MESSAGE_PARSER_H_
#define AL_HTTP1_MESSAGE_PARSER_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "al_http1/http1_message.h"

namespace auburnloft {

/** The parser of Http1RequestReader and Http1ResponseReader. Included only by
   their .cc files, so that no other file depends on Boost.Beast.

   Collects the parts of a message itself, rather than in the containers of the
   library: their field list throws for a field of 64 KiB, and their body
   reserves the stated length. It grows with what has arrived, up to the stated
   length. What a message makes the parser keep is bounded
   by the bytes that have arrived, and apart from the body by the limits below;
   no input makes it throw.

   Thread safety: none; use on one thread.
*/
template <bool is_request>
class MessageParser : public boost::beast::http::basic_parser<is_request> {
 public:
  using Error = boost::beast::error_code;

  /** @param max_header_bytes  size of the first line and all fields.
      @param max_fields  number of fields. Each takes memory beyond its bytes,
     so that many short ones take a multiple of the header's limit. */
  MessageParser(std::size_t max_header_bytes, std::size_t max_fields)
      : max_header_bytes(max_header_bytes), max_fields(max_fields) {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
        max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
    // Not boost::none: Boost.Beast 1.74 takes any stated length for one over
    // that limit if the header ends where the input does.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  //============================================================================
  // Commands

  /** Parses bytes until the message is complete, more input is needed, or the
     message is invalid. @return the number of bytes consumed. */
  auto Feed(std::string_view bytes) -> std::size_t {
    std::size_t used = 0;
    while (used < bytes.size() && !this->is_done()) {
      const std::string_view rest = bytes.substr(used);
      if (this->NeedsMoreFirst(rest)) {
        break;
      }
      if (!is_request && !this->is_header_done() && HasFoldedLine(rest)) {
        this->failure = boost::beast::http::error::bad_field;
        break;
      }
      Error status;
      const std::size_t count = this->put(
          boost::asio::const_buffer(rest.data(), rest.size()), status);
      used += count;
      if (status && status != boost::beast::http::error::need_more) {
        this->failure = status;
      }
      if (status || count == 0) {
        break;
      }
    }
    if (!this->failure && this->is_header_done() && !this->is_done() &&
        bytes.size() - used >= kMaxFramingBytes) {
      this->failure = boost::beast::http::error::header_limit;
    }
    return used;
  }

  //============================================================================
  // Queries

  /** Set if the message is invalid. */
  [[nodiscard]] auto error() const -> const Error& { return this->failure; }

  /** Memory that the parsed part of the message takes, in bytes. */
  [[nodiscard]] auto memory_bytes() const -> std::size_t {
    constexpr std::size_t kHeapOverhead = 32;  // Two blocks, at most.
    return this->header_bytes + this->body.capacity() +
           this->fields.all().capacity() * sizeof(Http1Field) +
           this->fields.all().size() * kHeapOverhead;
  }

  std::string method;  ///< Of a request, as is the target.
  std::string target;
  int status = 0;  ///< Of a response, as is the reason phrase.
  std::string reason;
  Http1Fields fields;  ///< Of the header; those of a trailer are dropped.
  bool keeps_alive = true;
  std::string body;

 private:
  using StringView = boost::beast::string_view;

  /** Maximum size of what is no content of a body: the extensions of all chunks
     together, the size line of a chunk, and the trailer section. As large as
     the usual limit of a header. */
  static constexpr std::size_t kMaxFramingBytes = std::size_t{64} * 1024;

  /** A colon and a line end, which no field lacks. */
  static constexpr std::size_t kFieldOverhead = 3;

  /** HTTP/1.1 in the notation of the library. RFC 9112, section 6.1: the
     framing of an older message with Transfer-Encoding is faulty. */
  static constexpr int kFirstVersionWithCodings = 11;

  /** Valid status codes (RFC 9110, section 15). */
  static constexpr int kMinStatus = 100;
  static constexpr int kMaxStatus = 599;

  /** The shortest rest of a chunked body at a chunk's size line: the last chunk
     and an empty trailer section. */
  static constexpr std::size_t kMinChunkedRest = 5;

  /** Returns whether the parser must not be called with `rest`: within the last
     chunk, Boost.Beast 1.74 fails an assertion if it gets fewer bytes than the
     rest must have, as happens if a server sends it in two parts. */
  [[nodiscard]] auto NeedsMoreFirst(std::string_view rest) const -> bool {
    return rest.size() < kMinChunkedRest && this->is_header_done() &&
           this->chunked();
  }

  /** Returns whether a line of a header begins with a blank, so that it belongs
     to the value of the field before it (RFC 9112, section 5.2). The library
     joins the two, which a gateway need not do for a response: the line may be
     a field whose name is damaged, and would change the one before it.
      @param bytes  from the start of a line; the body may follow. */
  static auto HasFoldedLine(std::string_view bytes) -> bool {
    if (bytes.starts_with("\r\n")) {
      return false;  // The end of the header.
    }
    const std::string_view header = bytes.substr(0, bytes.find("\r\n\r\n"));
    return header.find("\r\n ") != std::string_view::npos ||
           header.find("\r\n\t") != std::string_view::npos;
  }

  /** Adds to a size that has a limit. */
  static auto Count(std::size_t& total,
                    std::size_t more,
                    std::size_t limit,
                    Error& error) -> void {
    total += more;
    if (total > limit) {
      error = boost::beast::http::error::header_limit;
    }
  }

  auto on_request_impl(boost::beast::http::verb /*verb*/,
                       StringView method_text,
                       StringView target_text,
                       int version,
                       Error& error) -> void override {
    this->may_have_coding = version >= kFirstVersionWithCodings;
    this->method = std::string(method_text);
    this->target = std::string(target_text);
    Count(this->header_bytes, method_text.size() + target_text.size(),
          this->max_header_bytes, error);
  }

  auto on_response_impl(int code,
                        StringView reason_text,
                        int version,
                        Error& error) -> void override {
    // The library takes any three digits.
    if (code < kMinStatus || code > kMaxStatus) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    this->may_have_coding = version >= kFirstVersionWithCodings;
    this->status = code;
    this->reason = std::string(reason_text);
    Count(this->header_bytes, reason_text.size(), this->max_header_bytes,
          error);
  }

  auto on_field_impl(boost::beast::http::field known,
                     StringView name,
                     StringView value,
                     Error& error) -> void override {
    if (this->has_whole_header) {
      // RFC 9110, section 6.5.1: a trailer field must not be merged into the
      // header unless its definition permits that. No field that is used here
      // does, so that all are dropped.
      Count(this->trailer_bytes, name.size() + value.size() + kFieldOverhead,
            kMaxFramingBytes, error);
      return;
    }
    // The library takes any other coding for none, so that it would find the
    // end of the message elsewhere than the sender or a proxy before this one.
    if (known == boost::beast::http::field::transfer_encoding &&
        (!this->may_have_coding ||
         !EqualFieldNames(std::string_view(value.data(), value.size()),
                          "chunked"))) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    // The limit of the library holds for what one call of put() sees, not for
    // fields that arrive one by one.
    Count(this->header_bytes, name.size() + value.size() + kFieldOverhead,
          this->max_header_bytes, error);
    if (this->fields.all().size() >= this->max_fields) {
      error = boost::beast::http::error::header_limit;
    }
    if (!error) {
      this->fields.Add({name.data(), name.size()},
                       {value.data(), value.size()});
    }
  }

  auto on_header_impl(Error& /*error*/) -> void override {
    this->has_whole_header = true;
    // Later, `Connection` in a trailer changes what keep_alive() returns.
    this->keeps_alive = this->keep_alive();
  }

  auto on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Error& /*error*/) -> void override {
    this->stated_length = static_cast<std::size_t>(
        std::min<std::uint64_t>(length.value_or(0), SIZE_MAX));
  }

  auto on_body_impl(StringView part, Error& /*error*/) -> std::size_t override {
    this->AppendBody(part);
    return part.size();
  }

  auto on_chunk_header_impl(std::uint64_t /*size*/,
                            StringView extensions,
                            Error& error) -> void override {
    Count(this->extension_bytes, extensions.size(), kMaxFramingBytes, error);
  }

  auto on_chunk_body_impl(std::uint64_t /*remain*/,
                          StringView part,
                          Error& /*error*/) -> std::size_t override {
    this->AppendBody(part);
    return part.size();
  }

  /** Grows by half, where std::string doubles: less is taken that is not used.
   */
  auto AppendBody(StringView part) -> void {
    const std::size_t needed = this->body.size() + part.size();
    if (needed > this->body.capacity()) {
      std::size_t grown = needed + needed / 2;
      if (this->stated_length >= needed) {
        grown = std::min(grown, this->stated_length);
      }
      std::string larger;
      larger.reserve(grown);
      larger.append(this->body);
      this->body.swap(larger);
    }
    this->body.append(part.data(), part.size());
  }

  auto on_finish_impl(Error& /*error*/) -> void override {}

  std::size_t max_header_bytes;
  std::size_t max_fields;
  std::size_t stated_length = 0;  ///< 0: none.
  bool may_have_coding = true;
  bool has_whole_header = false;
  std::size_t header_bytes = 0;
  std::size_t trailer_bytes = 0;
  std::size_t extension_bytes = 0;
  Error failure;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_MESSAGE_PARSER_H_

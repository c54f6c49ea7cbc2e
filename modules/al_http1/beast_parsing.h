#ifndef AL_HTTP1_BEAST_PARSING_H_
#define AL_HTTP1_BEAST_PARSING_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "al_http1/http1_message.h"

/** Helpers of Http1RequestReader and Http1ResponseReader. Included only by
   their .cc files, so that no other file depends on Boost.Beast. */
namespace auburnloft {

/** The body of a Boost.Beast message that grows as its bytes arrive. The string
   body of the library reserves the stated length when the body begins: a peer
   that states a length which it never sends would take that memory, or end the
   process if it cannot be reserved. */
struct ArrivedBody {
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           value_type& body)
        : body(body) {}

    auto init(const boost::optional<std::uint64_t>& /*stated_length*/,
              boost::beast::error_code& error) -> void {
      error = {};
    }

    template <typename Buffers>
    auto put(const Buffers& buffers, boost::beast::error_code& error)
        -> std::size_t {
      for (const boost::asio::const_buffer part :
           boost::beast::buffers_range_ref(buffers)) {
        this->body.append(static_cast<const char*>(part.data()), part.size());
      }
      error = {};
      return boost::beast::buffer_bytes(buffers);
    }

    auto finish(boost::beast::error_code& error) -> void { error = {}; }

   private:
    value_type& body;
  };
};

/** The result of FeedParser(). */
struct ParserProgress {
  std::size_t used = 0;            ///< Bytes consumed.
  boost::beast::error_code error;  ///< Set if the message is invalid.
};

/** Maximum size of a part that the parser takes as a whole, apart from the
   header, which has a limit of its own: the size line of a chunk with its
   extensions, and the trailer section. Boost.Beast does not limit these. */
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} * 1024;

/** The shortest rest of a chunked body at a chunk's size line: the last chunk
   and an empty trailer section. */
inline constexpr std::size_t kMinChunkedRest = 5;

/** Returns whether the parser must not be called with `rest`: within the last
   chunk, Boost.Beast 1.74 fails an assertion if it gets fewer bytes than the
   rest must have, as happens if a server sends it in two parts. */
template <typename Parser>
[[nodiscard]] auto NeedsMoreFirst(const Parser& parser, std::string_view rest)
    -> bool {
  return rest.size() < kMinChunkedRest && parser.is_header_done() &&
         parser.chunked();
}

/** Passes `bytes` to a Boost.Beast parser until the message is complete, the
   parser needs more input, or the message is invalid. A part that exceeds
   kMaxUnparsedBytes makes the message invalid. */
template <typename Parser>
[[nodiscard]] auto FeedParser(Parser& parser, std::string_view bytes)
    -> ParserProgress {
  ParserProgress progress;
  while (progress.used < bytes.size() && !parser.is_done()) {
    boost::beast::error_code status;
    const std::string_view rest = bytes.substr(progress.used);
    if (NeedsMoreFirst(parser, rest)) {
      break;
    }
    const std::size_t count =
        parser.put(boost::asio::const_buffer(rest.data(), rest.size()), status);
    progress.used += count;
    if (status && status != boost::beast::http::error::need_more) {
      progress.error = status;
    }
    if (status || count == 0) {
      break;
    }
  }
  if (!progress.error && !parser.is_done() &&
      bytes.size() - progress.used >= kMaxUnparsedBytes) {
    progress.error = boost::beast::http::error::header_limit;
  }
  return progress;
}

/** Appends the header fields of a Boost.Beast message to `fields`. */
template <typename Message>
auto CopyFields(const Message& message, Http1Fields& fields) -> void {
  for (const auto& field : message) {
    fields.Add(std::string_view(field.name_string().data(),
                                field.name_string().size()),
               std::string_view(field.value().data(), field.value().size()));
  }
}

}  // namespace auburnloft

#endif  // AL_HTTP1_BEAST_PARSING_H_

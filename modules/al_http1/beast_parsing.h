#ifndef AL_HTTP1_BEAST_PARSING_H_
#define AL_HTTP1_BEAST_PARSING_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string_view>

#include "al_http1/http1_message.h"

/** Helpers of Http1RequestReader and Http1ResponseReader. Included only by
   their .cc files, so that no other file depends on Boost.Beast. */
namespace auburnloft {

/** The result of FeedParser(). */
struct ParserProgress {
  std::size_t used = 0;            ///< Bytes consumed.
  boost::beast::error_code error;  ///< Set if the message is invalid.
};

/** Passes `bytes` to a Boost.Beast parser until the message is complete, the
   parser needs more input, or the message is invalid. */
template <typename Parser>
[[nodiscard]] auto FeedParser(Parser& parser, std::string_view bytes)
    -> ParserProgress {
  ParserProgress progress;
  while (progress.used < bytes.size() && !parser.is_done()) {
    boost::beast::error_code status;
    const std::string_view rest = bytes.substr(progress.used);
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

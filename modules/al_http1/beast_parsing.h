#ifndef AL_HTTP1_BEAST_PARSING_H_
#define AL_HTTP1_BEAST_PARSING_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string_view>

#include "al_http1/http1_message.h"

/** What the readers of requests and of answers share. Included by their sources
    only, so that nothing else sees Boost.Beast. */
namespace auburnloft {

/** How far a parser has come with some bytes. */
struct ParserProgress {
  std::size_t used = 0;            ///< Bytes that it took.
  boost::beast::error_code error;  ///< Set where the bytes are no message.
};

/** Hands `bytes` to a parser of Boost.Beast until its message is whole, it
   needs more, or they are no message. */
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

/** Adds the header fields of a message of Boost.Beast to `fields`. */
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

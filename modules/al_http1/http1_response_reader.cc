#include "al_http1/http1_response_reader.h"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <limits>
#include <utility>

#include "al_http1/beast_parsing.h"

namespace auburnloft {

namespace http = boost::beast::http;

namespace {

/** Maximum size of a response header; a longer one is malformed. */
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

}  // namespace

struct Http1ResponseReader::Parser {
  http::response_parser<ArrivedBody> beast;
};

Http1ResponseReader::Http1ResponseReader(bool is_head_request)
    : parser(std::make_unique<Parser>()) {
  this->parser->beast.eager(true);
  this->parser->beast.header_limit(kMaxHeaderBytes);
  // Not boost::none: Boost.Beast 1.74 takes any stated length for one over that
  // limit if the head ends where the input does.
  this->parser->beast.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (is_head_request) {
    this->parser->beast.skip(true);
  }
}

Http1ResponseReader::~Http1ResponseReader() = default;

auto Http1ResponseReader::Feed(std::string_view bytes) -> std::size_t {
  this->has_bytes = this->has_bytes || (!bytes.empty() && !this->is_done());
  const ParserProgress progress = FeedParser(this->parser->beast, bytes);
  if (progress.error) {
    this->parse_failed = true;
  }
  return progress.used;
}

auto Http1ResponseReader::FeedEnd() -> void {
  boost::beast::error_code status;
  this->parser->beast.put_eof(status);
  if (status || !this->is_done()) {
    this->parse_failed = true;
  }
}

auto Http1ResponseReader::TakeBody() -> std::string {
  return std::exchange(this->parser->beast.get().body(), std::string());
}

auto Http1ResponseReader::Head() const -> Http1ResponseHead {
  const auto& message = this->parser->beast.get();
  Http1ResponseHead head;
  head.status = static_cast<int>(message.result_int());
  head.reason = std::string(message.reason());
  CopyFields(message, head.fields);
  head.keeps_alive = this->parser->beast.keep_alive();
  head.ends_with_connection = this->parser->beast.need_eof();
  return head;
}

auto Http1ResponseReader::has_header() const -> bool {
  return this->parser->beast.is_header_done();
}

auto Http1ResponseReader::is_done() const -> bool {
  return this->parser->beast.is_done();
}

}  // namespace auburnloft

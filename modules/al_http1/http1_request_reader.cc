#include "al_http1/http1_request_reader.h"

#include <utility>

#include "al_http1/message_parser.h"

namespace auburnloft {

namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

auto StatusFor(const boost::beast::error_code& error) -> int {
  if (error == boost::beast::http::error::header_limit) {
    return kHeaderTooLarge;
  }
  if (error == boost::beast::http::error::body_limit) {
    return kContentTooLarge;
  }
  return kBadRequest;
}

}  // namespace

struct Http1RequestReader::Parser : MessageParser<true> {
  using MessageParser::MessageParser;
};

Http1RequestReader::Http1RequestReader(const Http1RequestLimits& limits)
    : parser(std::make_unique<Parser>(limits.header_bytes, limits.fields)) {
  this->parser->body_limit(limits.body_bytes);
}

Http1RequestReader::~Http1RequestReader() = default;

auto Http1RequestReader::Feed(std::string_view bytes) -> std::size_t {
  this->has_bytes = this->has_bytes || (!bytes.empty() && !this->is_done());
  const std::size_t used = this->parser->Feed(bytes);
  if (this->parser->error()) {
    this->error = StatusFor(this->parser->error());
  }
  return used;
}

auto Http1RequestReader::TakeRequest() -> Http1Request {
  Http1Request request;
  request.method = std::move(this->parser->method);
  request.target = std::move(this->parser->target);
  request.fields = std::move(this->parser->fields);
  request.body = std::move(this->parser->body);
  request.keeps_alive = this->parser->keeps_alive;
  return request;
}

auto Http1RequestReader::is_done() const -> bool {
  return this->parser->is_done();
}

auto Http1RequestReader::has_header() const -> bool {
  return this->parser->is_header_done();
}

auto Http1RequestReader::memory_bytes() const -> std::size_t {
  return this->parser->memory_bytes();
}

auto Http1RequestReader::Head() const -> Http1RequestHead {
  return {this->parser->method, this->parser->target, this->parser->fields};
}

auto Http1RequestReader::body_bytes() const -> std::size_t {
  return this->parser->body.size();
}

auto Http1RequestReader::expects_continue() const -> bool {
  const auto expected = this->parser->fields.Find("Expect");
  return this->has_header() && expected &&
         EqualFieldNames(*expected, "100-continue");
}

}  // namespace auburnloft

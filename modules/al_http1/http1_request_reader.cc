#include "al_http1/http1_request_reader.h"

#include <boost/beast/http/parser.hpp>
#include <utility>

#include "al_http1/beast_parsing.h"

namespace auburnloft {

namespace http = boost::beast::http;

namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

auto StatusFor(const boost::beast::error_code& error) -> int {
  if (error == http::error::header_limit) {
    return kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return kContentTooLarge;
  }
  return kBadRequest;
}

}  // namespace

struct Http1RequestReader::Parser {
  http::request_parser<ArrivedBody> beast;
};

Http1RequestReader::Http1RequestReader(const Http1RequestLimits& limits)
    : parser(std::make_unique<Parser>()) {
  this->parser->beast.eager(true);
  this->parser->beast.header_limit(
      static_cast<std::uint32_t>(limits.header_bytes));
  this->parser->beast.body_limit(limits.body_bytes);
}

Http1RequestReader::~Http1RequestReader() = default;

auto Http1RequestReader::Feed(std::string_view bytes) -> std::size_t {
  this->has_bytes = this->has_bytes || (!bytes.empty() && !this->is_done());
  const ParserProgress progress = FeedParser(this->parser->beast, bytes);
  if (progress.error) {
    this->error = StatusFor(progress.error);
  }
  return progress.used;
}

auto Http1RequestReader::TakeRequest() -> Http1Request {
  auto message = this->parser->beast.release();
  Http1Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  CopyFields(message, request.fields);
  request.keeps_alive = message.keep_alive();
  request.body = std::move(message.body());
  return request;
}

auto Http1RequestReader::is_done() const -> bool {
  return this->parser->beast.is_done();
}

auto Http1RequestReader::has_header() const -> bool {
  return this->parser->beast.is_header_done();
}

auto Http1RequestReader::expects_continue() const -> bool {
  const auto& fields = this->parser->beast.get();
  return this->has_header() &&
         boost::beast::iequals(fields[http::field::expect], "100-continue");
}

}  // namespace auburnloft

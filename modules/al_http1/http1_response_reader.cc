#include "al_http1/http1_response_reader.h"

#include <utility>

#include "al_http1/message_parser.h"

namespace auburnloft {

namespace {

/** Maximum size of a response header; a longer one is malformed. */
constexpr std::size_t kMaxHeaderBytes = std::size_t{64} * 1024;

/** Maximum number of fields; more are malformed. */
constexpr std::size_t kMaxFields = 1'000;

}  // namespace

struct Http1ResponseReader::Parser : MessageParser<false> {
  using MessageParser::MessageParser;
};

Http1ResponseReader::Http1ResponseReader(bool is_head_request)
    : parser(std::make_unique<Parser>(kMaxHeaderBytes, kMaxFields)) {
  if (is_head_request) {
    this->parser->skip(true);
  }
}

Http1ResponseReader::~Http1ResponseReader() = default;

auto Http1ResponseReader::Feed(std::string_view bytes) -> std::size_t {
  this->has_bytes = this->has_bytes || (!bytes.empty() && !this->is_done());
  const std::size_t used = this->parser->Feed(bytes);
  if (this->parser->error()) {
    this->parse_failed = true;
  }
  return used;
}

auto Http1ResponseReader::FeedEnd() -> void {
  boost::beast::error_code status;
  this->parser->put_eof(status);
  if (status || !this->is_done()) {
    this->parse_failed = true;
  }
}

auto Http1ResponseReader::TakeBody() -> std::string {
  return std::exchange(this->parser->body, std::string());
}

auto Http1ResponseReader::Head() const -> Http1ResponseHead {
  Http1ResponseHead head;
  head.status = this->parser->status;
  head.reason = this->parser->reason;
  head.fields = this->parser->fields;
  head.keeps_alive = this->parser->keeps_alive;
  head.ends_with_connection = this->parser->need_eof();
  return head;
}

auto Http1ResponseReader::has_header() const -> bool {
  return this->parser->is_header_done();
}

auto Http1ResponseReader::is_done() const -> bool {
  return this->parser->is_done();
}

}  // namespace auburnloft

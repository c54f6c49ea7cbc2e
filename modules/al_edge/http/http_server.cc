#include "al_edge/http/http_server.h"

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

namespace auburnloft {

namespace {

constexpr std::array<std::string_view, 9> kMethods = {
    "GET", "POST", "OPTIONS", "PUT", "PATCH", "DELETE", "CONNECT", "HEAD", ""};

auto CopyHeader(lws* wsi, lws_token_indexes token) -> std::string {
  const int length = lws_hdr_total_length(wsi, token);
  if (length <= 0) {
    return {};
  }
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
  value.resize(static_cast<std::size_t>(std::max(0, copied)));
  return value;
}

auto CopyCustomHeader(lws* wsi, const std::string& name) -> std::string {
  const std::string token = name + ":";
  const int token_size = static_cast<int>(token.size());
  const int length = lws_hdr_custom_length(wsi, token.c_str(), token_size);
  if (length <= 0) {
    return {};
  }
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1,
                                         token.c_str(), token_size);
  value.resize(static_cast<std::size_t>(std::max(0, copied)));
  return value;
}

/** The libwebsockets token of a header, or WSI_TOKEN_COUNT for a custom header.
   Headers with a token cannot be read with the functions for custom headers. */
auto StandardHeaderToken(std::string_view name) -> lws_token_indexes {
  if (name == "authorization") {
    return WSI_TOKEN_HTTP_AUTHORIZATION;
  }
  return name == "content-type" ? WSI_TOKEN_HTTP_CONTENT_TYPE : WSI_TOKEN_COUNT;
}

auto MayHaveBody(std::string_view method) -> bool {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

auto ExchangeOf(lws* wsi) -> HttpExchange* {
  return static_cast<HttpExchange*>(lws_get_opaque_user_data(wsi));
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, Options options, Handler handler)
    : loop(loop), options(std::move(options)), handler(std::move(handler)) {}

auto HttpServer::Listen() -> bool {
  const std::size_t colon = this->options.address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  static std::vector<std::unique_ptr<std::string>> interfaces;
  interfaces.push_back(
      std::make_unique<std::string>(this->options.address.substr(0, colon)));
  int port = 0;
  const std::string digits = this->options.address.substr(colon + 1);
  std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const auto on_event = [](lws* wsi, lws_callback_reasons reason,
                           void* /*user*/, void* in, size_t size) -> int {
    return OnEvent(wsi, reason, in, size);
  };
  static const std::array<lws_protocols, 2> kProtocols = {{
      {"http", on_event, 0, 0, 0, nullptr, 0},
      {nullptr, nullptr, 0, 0, 0, nullptr, 0},
  }};
  lws_context_creation_info info{};
  info.port = port;
  info.iface = interfaces.back()->c_str();
  info.protocols = kProtocols.data();
  info.user = this;
  info.vhost_name = this->options.address.c_str();
  info.timeout_secs = 86'400;
  info.keepalive_timeout = 60;
  this->vhost = lws_create_vhost(this->loop.context(), &info);
  return this->vhost != nullptr;
}

auto HttpServer::OnEvent(lws* wsi, int reason, void* in, std::size_t size)
    -> int {
  auto* const server =
      static_cast<HttpServer*>(lws_vhost_user(lws_get_vhost(wsi)));
  const std::string_view data(static_cast<const char*>(in),
                              in == nullptr ? 0 : size);
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return server->OnHead(wsi, data);
    case LWS_CALLBACK_HTTP_BODY:
      return server->OnBody(wsi, data);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return server->OnBodyEnd(wsi);
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return server->OnWritable(wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      server->OnClosed(wsi);
      return 0;
    default:
      return 0;
  }
}

auto HttpServer::ReadHeaders(lws* wsi, HttpRequest& request) const -> void {
  for (const std::string& name : this->options.header_names) {
    const lws_token_indexes token = StandardHeaderToken(name);
    std::string value = token == WSI_TOKEN_COUNT ? CopyCustomHeader(wsi, name)
                                                 : CopyHeader(wsi, token);
    if (!value.empty()) {
      request.headers.push_back({name, std::move(value)});
    }
  }
  std::array<char, 1024> argument{};
  for (int i = 0;; ++i) {
    const int size = lws_hdr_copy_fragment(wsi, argument.data(),
                                           static_cast<int>(argument.size()),
                                           WSI_TOKEN_HTTP_URI_ARGS, i);
    if (size <= 0) {
      break;
    }
    request.query += (i == 0 ? "" : "&");
    request.query.append(argument.data(), static_cast<std::size_t>(size));
  }
}

auto HttpServer::OnHead(lws* wsi, std::string_view path) -> int {
  auto exchange = std::make_shared<HttpExchange>(wsi);
  HttpExchange& added = *exchange;
  this->open[exchange.get()] = exchange;
  lws_set_opaque_user_data(wsi, exchange.get());
  char* uri = nullptr;
  int uri_size = 0;
  const int method = lws_http_get_uri_and_method(wsi, &uri, &uri_size);
  if (method < 0 || static_cast<std::size_t>(method) >= kMethods.size()) {
    return this->Fail(added, 405, "the method is not known");
  }
  added.received.method = kMethods.at(static_cast<std::size_t>(method));
  added.received.path = path;
  this->ReadHeaders(wsi, added.received);
  const std::optional<std::size_t> length = this->ReadLength(wsi, added);
  if (!length) {
    return 0;
  }
  if (MayHaveBody(added.received.method)) {
    if (*length > this->options.max_body_bytes) {
      return this->Fail(added, 413,
                        "the body is longer than " +
                            std::to_string(this->options.max_body_bytes) +
                            " bytes");
    }
    if (*length > 0) {
      return 0;
    }
  }
  added.handled = true;
  this->handler(exchange);
  return 0;
}

auto HttpServer::ReadLength(lws* wsi, HttpExchange& exchange)
    -> std::optional<std::size_t> {
  const std::string text = CopyHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  const bool has_coding =
      lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  if (text.empty() && !has_coding && !MayHaveBody(exchange.received.method)) {
    return 0;
  }
  std::size_t length = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, length);
  if (!text.empty() && !has_coding && error == std::errc() && rest == end) {
    return length;
  }
  // Whatever follows may be taken for a further request.
  exchange.SetClosing();
  if (text.empty()) {
    this->Fail(exchange, 411, "the request has no Content-Length");
  } else {
    this->Fail(exchange, 400,
               has_coding ? "Transfer-Encoding is not supported"
                          : "the Content-Length is not a number");
  }
  return std::nullopt;
}

auto HttpServer::OnBody(lws* wsi, std::string_view data) -> int {
  HttpExchange* const exchange = ExchangeOf(wsi);
  if (exchange == nullptr || exchange->begun) {
    return 0;
  }
  exchange->received.body += data;
  return 0;
}

auto HttpServer::OnBodyEnd(lws* wsi) -> int {
  const auto found = this->open.find(ExchangeOf(wsi));
  if (found == this->open.end()) {
    return 0;
  }
  const std::shared_ptr<HttpExchange> exchange = found->second;
  if (!exchange->handled && !exchange->begun) {
    exchange->handled = true;
    this->handler(exchange);
    return 0;
  }
  // Bytes of a further request wait. libwebsockets repeats this event without
  // end, and serves no other connection, until the response is complete.
  if (!exchange->ended || exchange->aborted) {
    return -1;
  }
  exchange->SetClosing();
  return exchange->SendRest();
}

auto HttpServer::OnWritable(lws* wsi) -> int {
  const auto found = this->open.find(ExchangeOf(wsi));
  if (found == this->open.end()) {
    return 0;
  }
  const std::shared_ptr<HttpExchange> exchange = found->second;
  if (exchange->aborted) {
    return -1;
  }
  const int result = exchange->OnWritable();
  if (!exchange->is_open()) {
    this->open.erase(exchange.get());
  }
  return result;
}

auto HttpServer::OnClosed(lws* wsi) -> void {
  const auto found = this->open.find(ExchangeOf(wsi));
  if (found == this->open.end()) {
    return;
  }
  const std::shared_ptr<HttpExchange> exchange = found->second;
  this->open.erase(found);
  lws_set_opaque_user_data(wsi, nullptr);
  exchange->OnClosed();
}

auto HttpServer::Fail(HttpExchange& exchange, int status, std::string_view text)
    -> int {
  const std::string body = this->error_formatter
                               ? this->error_formatter(status, text)
                               : std::string(text) + "\n";
  exchange.Respond(
      status, this->error_formatter ? "application/json" : "text/plain", body);
  return 0;
}

}  // namespace auburnloft

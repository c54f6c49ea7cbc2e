#include "al_edge/http/http_client.h"

#include <libwebsockets.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnloft {

namespace {

constexpr const char* kProtocolName = "http-client";

/** Maximum bytes of a request body per write. */
constexpr std::size_t kMaxWriteBytes = 65'536;

using Handles =
    std::unordered_map<HttpCallHandle*, std::shared_ptr<HttpCallHandle>>;

/** Owns the calls in progress of this thread. libwebsockets stores raw pointers
   to them. */
auto RunningCalls() -> Handles& {
  thread_local Handles handles;
  return handles;
}

auto ResponseHeader(lws* wsi, const std::string& name) -> std::string {
  std::string value;
  if (name == "content-type") {
    const int length = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    if (length > 0) {
      value.resize(static_cast<std::size_t>(length) + 1);
      lws_hdr_copy(wsi, value.data(), length + 1, WSI_TOKEN_HTTP_CONTENT_TYPE);
      value.resize(static_cast<std::size_t>(length));
    }
    return value;
  }
  const std::string token = name + ":";
  const int size = static_cast<int>(token.size());
  const int length = lws_hdr_custom_length(wsi, token.c_str(), size);
  if (length > 0) {
    value.resize(static_cast<std::size_t>(length) + 1);
    lws_hdr_custom_copy(wsi, value.data(), length + 1, token.c_str(), size);
    value.resize(static_cast<std::size_t>(length));
  }
  return value;
}

}  // namespace

//==============================================================================
// Handle

auto HttpCallHandle::Cancel() -> void {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->call.on_head = nullptr;
  this->call.on_data = nullptr;
  this->call.on_end = nullptr;
  this->call.on_error = nullptr;
  if (this->wsi != nullptr) {
    lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

auto HttpCallHandle::SetPaused(bool new_paused) -> void {
  if (this->wsi != nullptr && this->paused != new_paused) {
    lws_rx_flow_control(this->wsi, new_paused ? 0 : 1);
  }
  this->paused = new_paused;
}

//==============================================================================
// Client

HttpClient::~HttpClient() {
  for (auto& [pointer, handle] : RunningCalls()) {
    handle->Cancel();
  }
}

auto HttpClient::Protocol() -> lws_protocols {
  const auto on_event = [](lws* wsi, lws_callback_reasons reason,
                           void* /*user*/, void* in, size_t size) -> int {
    return OnEvent(wsi, reason, in, size);
  };
  return {kProtocolName, on_event, 0, 0, 0, nullptr, 0};
}

auto HttpClient::Send(HttpCall call) -> std::shared_ptr<HttpCallHandle> {
  auto handle = std::make_shared<HttpCallHandle>();
  handle->call = std::move(call);
  const std::string& address = handle->call.address;
  const std::size_t colon = address.rfind(':');
  int port = 0;
  if (colon != std::string::npos) {
    handle->host = address.substr(0, colon);
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
  }
  RunningCalls()[handle.get()] = handle;
  lws_client_connect_info info{};
  info.context = this->loop.context();
  info.vhost = this->loop.client_vhost();
  info.address = handle->host.c_str();
  info.host = handle->call.address.c_str();
  info.origin = info.host;
  info.port = port;
  info.path = handle->call.path.c_str();
  info.method = handle->call.method.c_str();
  info.local_protocol_name = kProtocolName;
  info.opaque_user_data = handle.get();
  info.pwsi = &handle->wsi;
  info.alpn = "http/1.1";
  const bool started = lws_client_connect_via_info(&info) != nullptr;
  handle->starting = false;
  if (!started) {
    handle->wsi = nullptr;
    this->loop.Post([handle] {
      Fail(*handle, "the connection cannot be opened");
      RunningCalls().erase(handle.get());
    });
  }
  return handle;
}

auto HttpClient::OnEvent(lws* wsi, int reason, void* in, std::size_t size)
    -> int {
  const auto found = RunningCalls().find(
      static_cast<HttpCallHandle*>(lws_get_opaque_user_data(wsi)));
  if (found == RunningCalls().end()) {
    return 0;
  }
  const std::shared_ptr<HttpCallHandle> handle = found->second;
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return OnHandshake(*handle, wsi, in, size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return OnWritable(*handle, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      OnHead(*handle, wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
      std::vector<char> buffer(LWS_PRE + 32'768);
      char* at = buffer.data() + LWS_PRE;
      int capacity = static_cast<int>(buffer.size() - LWS_PRE);
      return lws_http_client_read(wsi, &at, &capacity) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return OnData(*handle, {static_cast<const char*>(in), size});
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      Finish(*handle);
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (!handle->starting) {
        Fail(*handle, in == nullptr
                          ? std::string_view("connection failed")
                          : std::string_view(static_cast<const char*>(in)));
      }
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      Fail(*handle, "the connection was closed before the end of the answer");
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      handle->wsi = nullptr;
      if (!handle->starting) {
        Fail(*handle, "the connection was closed");
        RunningCalls().erase(handle.get());
      }
      return 0;
    default:
      return 0;
  }
}

auto HttpClient::OnHandshake(HttpCallHandle& handle,
                             lws* wsi,
                             void* in,
                             std::size_t size) -> int {
  handle.sent = true;
  auto** const at = static_cast<unsigned char**>(in);
  unsigned char* const end = *at + size;
  HttpHeaders headers = handle.call.headers;
  if (!handle.call.body.empty() || handle.call.method != "GET") {
    headers.push_back(
        {"content-length", std::to_string(handle.call.body.size())});
  }
  for (const HttpHeader& header : headers) {
    const std::string name = header.name + ":";
    if (lws_add_http_header_by_name(
            wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
            reinterpret_cast<const unsigned char*>(header.value.c_str()),
            static_cast<int>(header.value.size()), at, end) != 0) {
      return -1;
    }
  }
  if (!handle.call.body.empty()) {
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
  }
  return 0;
}

auto HttpClient::OnWritable(HttpCallHandle& handle, lws* wsi) -> int {
  std::string& body = handle.call.body;
  if (body.empty()) {
    return 0;
  }
  const std::size_t size = std::min(body.size(), kMaxWriteBytes);
  const bool is_last = size == body.size();
  std::vector<unsigned char> buffer(LWS_PRE + size);
  std::memcpy(buffer.data() + LWS_PRE, body.data(), size);
  body.erase(0, size);
  if (is_last) {
    lws_client_http_body_pending(wsi, 0);
  }
  if (lws_write(wsi, buffer.data() + LWS_PRE, size,
                is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
    return -1;
  }
  if (!is_last) {
    lws_callback_on_writable(wsi);
  }
  return 0;
}

auto HttpClient::OnHead(HttpCallHandle& handle, lws* wsi) -> void {
  HttpHeaders headers;
  for (const std::string& name : handle.call.response_headers) {
    std::string value = ResponseHeader(wsi, name);
    if (!value.empty()) {
      headers.push_back({name, std::move(value)});
    }
  }
  if (handle.call.on_head) {
    handle.call.on_head(static_cast<int>(lws_http_client_http_response(wsi)),
                        headers);
  }
}

auto HttpClient::OnData(HttpCallHandle& handle, std::string_view data) -> int {
  handle.received_bytes += data.size();
  if (handle.received_bytes > handle.call.max_response_bytes) {
    Fail(handle, "the answer is too long");
    return -1;  // Closes the connection.
  }
  if (handle.call.on_data) {
    handle.call.on_data(data);
  }
  return 0;
}

auto HttpClient::Fail(HttpCallHandle& handle, std::string_view text) -> void {
  if (std::exchange(handle.finished, true)) {
    return;
  }
  if (handle.call.on_error) {
    const auto on_error = std::move(handle.call.on_error);
    on_error(handle.sent, text);
  }
}

auto HttpClient::Finish(HttpCallHandle& handle) -> void {
  if (std::exchange(handle.finished, true)) {
    return;
  }
  if (handle.call.on_end) {
    const auto on_end = std::move(handle.call.on_end);
    on_end();
  }
}

}  // namespace auburnloft

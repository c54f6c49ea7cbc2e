#include "al_edge/http/http_exchange.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstring>
#include <vector>

namespace auburnloft {

namespace {

/** Maximum bytes per write; more would only fill the socket's buffer. */
constexpr std::size_t kMaxWriteBytes = 65'536;

/** Buffer size for a response header. */
constexpr std::size_t kMaxHeadBytes = 8192;

/** Number of sent bytes above which they are removed from the output buffer. */
constexpr std::size_t kCompactionThreshold = 262'144;

auto Bytes(const std::string& text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.c_str());
}

}  // namespace

//==============================================================================
// Commands

auto HttpExchange::Begin(int new_status,
                         std::string_view content_type,
                         HttpHeaders extra) -> void {
  assert(!this->begun);
  this->begun = true;
  this->status = new_status;
  this->head = std::move(extra);
  this->head.push_back({"content-type", std::string(content_type)});
}

auto HttpExchange::Respond(int new_status,
                           std::string_view content_type,
                           std::string_view body,
                           HttpHeaders extra) -> void {
  if (this->wsi == nullptr) {
    return;
  }
  this->Begin(new_status, content_type, std::move(extra));
  this->content_length = body.size();
  this->out = body;
  this->ended = true;
  this->RequestWritable();
}

auto HttpExchange::BeginStream(int new_status,
                               std::string_view content_type,
                               HttpHeaders extra) -> void {
  if (this->wsi == nullptr) {
    return;
  }
  this->Begin(new_status, content_type, std::move(extra));
  this->chunked = true;
  this->RequestWritable();
}

auto HttpExchange::Write(std::string_view data) -> void {
  if (this->wsi == nullptr || data.empty()) {
    return;
  }
  assert(this->chunked && !this->ended);
  std::array<char, 2 * sizeof(std::size_t)> size{};
  const auto [end, error] = std::to_chars(
      size.data(), size.data() + size.size(), data.size(), /*base=*/16);
  this->out.append(size.data(), end);
  this->out += "\r\n";
  this->out += data;
  this->out += "\r\n";
  this->RequestWritable();
}

auto HttpExchange::End() -> void {
  if (this->wsi == nullptr || this->ended) {
    return;
  }
  this->out += "0\r\n\r\n";
  this->ended = true;
  this->RequestWritable();
}

auto HttpExchange::Abort() -> void {
  this->aborted = true;
  if (this->wsi != nullptr) {
    lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

auto HttpExchange::RequestWritable() -> void {
  lws_callback_on_writable(this->wsi);
}

//==============================================================================
// Events of the server

auto HttpExchange::SendHead() -> int {
  std::vector<unsigned char> buffer(LWS_PRE + kMaxHeadBytes);
  unsigned char* const start = buffer.data() + LWS_PRE;
  unsigned char* at = start;
  unsigned char* const end = buffer.data() + buffer.size();
  if (lws_add_http_header_status(
          this->wsi, static_cast<unsigned int>(this->status), &at, end) != 0) {
    return -1;
  }
  HttpHeaders headers = this->head;
  if (this->chunked) {
    headers.push_back({"transfer-encoding", "chunked"});
  } else {
    headers.push_back({"content-length", std::to_string(this->content_length)});
  }
  if (this->closing) {
    headers.push_back({"connection", "close"});
  }
  for (const HttpHeader& header : headers) {
    const std::string name = header.name + ":";
    if (lws_add_http_header_by_name(this->wsi, Bytes(name), Bytes(header.value),
                                    static_cast<int>(header.value.size()), &at,
                                    end) != 0) {
      return -1;
    }
  }
  this->head_sent = true;
  return lws_finalize_write_http_header(this->wsi, start, &at, end);
}

auto HttpExchange::OnWritable() -> int {
  if (!this->begun) {
    return 0;
  }
  if (!this->head_sent) {
    if (this->SendHead() != 0) {
      return -1;
    }
    lws_callback_on_writable(this->wsi);
    return 0;
  }
  const std::size_t size = std::min(this->unsent_bytes(), kMaxWriteBytes);
  if (size > 0) {
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::memcpy(buffer.data() + LWS_PRE, this->out.data() + this->out_sent,
                size);
    this->out_sent += size;
    const bool is_last = this->ended && this->unsent_bytes() == 0;
    const int written =
        lws_write(this->wsi, buffer.data() + LWS_PRE, size,
                  is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0) {
      return -1;
    }
  }
  if (this->unsent_bytes() > 0) {
    if (this->out_sent > kCompactionThreshold) {
      this->out.erase(0, this->out_sent);
      this->out_sent = 0;
    }
    lws_callback_on_writable(this->wsi);
    return 0;
  }
  this->out.clear();
  this->out_sent = 0;
  if (!this->ended) {
    if (this->on_flushed) {
      this->on_flushed();
    }
    return 0;
  }
  lws* const connection = this->wsi;
  this->wsi = nullptr;
  lws_set_opaque_user_data(connection, nullptr);
  return this->closing || lws_http_transaction_completed(connection) != 0 ? -1
                                                                          : 0;
}

auto HttpExchange::SendRest() -> int {
  assert(this->ended);
  int result = 0;
  while (result == 0 && this->is_open()) {
    result = this->OnWritable();
  }
  return result;
}

auto HttpExchange::OnClosed() -> void {
  this->wsi = nullptr;
  if (this->on_disconnect) {
    const Callback callback = std::move(this->on_disconnect);
    callback();
  }
}

}  // namespace auburnloft

#include "al_http1/http_client.h"

#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_http1/http1_message.h"

namespace auburnloft {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(3);

auto SerializeCall(const HttpCall& call) -> std::string {
  Http1Request request;
  request.method = call.method;
  request.target = call.path;
  request.fields.Add("Host", call.address);
  request.fields.Add("Connection", "close");
  for (const HttpHeader& header : call.headers) {
    request.fields.Add(header.name, header.value);
  }
  request.body = call.body;
  return SerializeRequest(request);
}

}  // namespace

//==============================================================================
// Handle

auto HttpCallHandle::Cancel() -> void {
  this->End();
}

auto HttpCallHandle::SetPaused(bool paused) -> void {
  if (this->connection) {
    this->connection->SetReadingPaused(paused);
  }
}

auto HttpCallHandle::OnHead(const Http1ResponseHead& head) -> void {
  HttpHeaders headers;
  for (const std::string& name : this->call.response_headers) {
    if (const auto value = head.fields.Find(name)) {
      headers.push_back({name, std::string(*value)});
    }
  }
  if (const auto on_head = this->call.on_head) {
    on_head(head.status, headers);
  }
}

auto HttpCallHandle::OnBody(std::string_view data) -> void {
  this->received_bytes += data.size();
  if (this->received_bytes > this->call.max_response_bytes) {
    this->Fail(true, "the answer is too long");
    return;
  }
  if (const auto on_data = this->call.on_data) {
    on_data(data);
  }
}

auto HttpCallHandle::OnDone(Http1Outcome outcome) -> void {
  switch (outcome) {
    case Http1Outcome::kComplete:
      if (const auto on_end = this->End().on_end) {
        on_end();
      }
      return;
    case Http1Outcome::kNotSent:
      this->Fail(false, "connection failed");
      return;
    case Http1Outcome::kNoResponse:
      this->Fail(true, "the connection was closed before the answer");
      return;
    case Http1Outcome::kBroken:
      this->Fail(true, "the answer is malformed or was broken off");
      return;
  }
}

auto HttpCallHandle::Fail(bool sent, std::string_view text) -> void {
  if (const auto on_error = this->End().on_error) {
    on_error(sent, text);
  }
}

auto HttpCallHandle::End() -> HttpCall {
  if (this->client != nullptr) {
    this->client->running_calls.erase(this);
    this->client = nullptr;
  }
  HttpCall ended = std::exchange(this->call, {});
  if (const auto closing = std::exchange(this->connection, nullptr)) {
    closing->Close();  // May destroy this handle.
  }
  return ended;
}

//==============================================================================
// Client

HttpClient::~HttpClient() {
  while (!this->running_calls.empty()) {
    (*this->running_calls.begin())->Cancel();
  }
}

auto HttpClient::Send(HttpCall call) -> std::shared_ptr<HttpCallHandle> {
  auto handle = std::make_shared<HttpCallHandle>();
  handle->client = this;
  handle->call = std::move(call);
  this->running_calls.insert(handle.get());
  handle->connection = Http1ClientConnection::Connect(
      this->poller, handle->call.address, kConnectTimeout);
  if (!handle->connection) {
    this->poller.loop().Post(
        [handle] { handle->Fail(false, "the connection cannot be opened"); });
    return handle;
  }
  // The callbacks keep the handle until the call ends, which drops them.
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.on_head = [handle](const Http1ResponseHead& head) {
    handle->OnHead(head);
  };
  callbacks.on_body = [handle](const std::string& data) {
    handle->OnBody(data);
  };
  callbacks.on_done = [handle](Http1Outcome outcome) {
    handle->OnDone(outcome);
  };
  handle->connection->Start(SerializeCall(handle->call),
                            handle->call.method == "HEAD",
                            std::move(callbacks));
  return handle;
}

}  // namespace auburnloft

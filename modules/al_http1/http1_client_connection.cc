#include "al_http1/http1_client_connection.h"

#include <cassert>
#include <utility>

#include "al_http1/http1_response_reader.h"

namespace auburnloft {

namespace {

constexpr int kFirstFinalStatus = 200;

/** Maximum bytes of discarded responses in one exchange. A second copy of a
   response is about as long as the first; a server that sends more than this is
   faulty, and its connection is closed. */
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1} << 20;

}  // namespace

Http1ClientConnection::Http1ClientConnection(SocketPoller& poller)
    : poller(poller) {}

Http1ClientConnection::~Http1ClientConnection() {
  this->Close();
}

auto Http1ClientConnection::Connect(SocketPoller& poller,
                                    std::string_view address,
                                    Duration timeout)
    -> std::shared_ptr<Http1ClientConnection> {
  std::shared_ptr<Http1ClientConnection> client(
      new Http1ClientConnection(poller));
  TcpConnection::Callbacks callbacks;
  callbacks.on_connected = [self = client.get()] { self->OnConnected(); };
  callbacks.on_input = [self = client.get()] { self->OnInput(); };
  callbacks.on_end = [self = client.get()](TcpCloseReason end) {
    self->OnEnd(end);
  };
  client->connection =
      TcpConnection::Connect(poller, address, timeout, std::move(callbacks));
  return client->connection ? client : nullptr;
}

//==============================================================================
// Commands

auto Http1ClientConnection::Start(std::string_view request_bytes,
                                  bool is_head_request,
                                  ExchangeCallbacks callbacks) -> void {
  assert(this->is_idle());
  this->exchange = std::move(callbacks);
  this->is_head_request = is_head_request;
  this->reader = std::make_unique<Http1ResponseReader>(is_head_request);
  this->head_delivered = false;
  this->discards_response = false;
  this->discarded_bytes = 0;
  if (this->connection->is_connected()) {
    this->request_written = true;
    this->connection->Write(request_bytes);
  } else {
    this->request_written = false;
    this->unsent_request = request_bytes;
  }
}

auto Http1ClientConnection::SetOnIdleEnd(std::function<void()> on_idle_end)
    -> void {
  this->on_idle_end = std::move(on_idle_end);
}

auto Http1ClientConnection::SetReadingPaused(bool paused) -> void {
  this->connection->SetReadingPaused(paused);
}

auto Http1ClientConnection::Close() -> void {
  this->exchange = {};
  this->on_idle_end = {};
  this->reader.reset();
  if (this->connection) {
    this->connection->Close();
  }
}

//==============================================================================

auto Http1ClientConnection::OnConnected() -> void {
  if (this->reader && !this->request_written) {
    this->request_written = true;
    this->connection->Write(std::exchange(this->unsent_request, {}));
  }
}

auto Http1ClientConnection::OnInput() -> void {
  const auto self = this->shared_from_this();
  if (this->reader) {
    this->FeedInput();
    return;
  }
  // Bytes without an open exchange belong to no request.
  const auto call = std::exchange(this->on_idle_end, {});
  this->connection->Close();
  if (call) {
    call();
  }
}

auto Http1ClientConnection::FeedInput() -> void {
  while (this->reader && !this->connection->input().empty()) {
    const std::size_t used = this->reader->Feed(this->connection->input());
    this->connection->Consume(used);
    if (this->reader->has_failed()) {
      this->Finish(Http1Outcome::kBroken);
      return;
    }
    if (!this->reader->has_header()) {
      return;
    }
    this->DeliverHead();
    if (!this->reader) {
      return;  // The owner closed the connection in its callback.
    }
    this->DeliverBody();
    if (!this->reader) {
      return;
    }
    this->discarded_bytes += this->discards_response ? used : 0;
    if (this->discarded_bytes > kMaxDiscardedBytes) {
      this->Finish(Http1Outcome::kBroken);
      return;
    }
    if (this->reader->is_done()) {
      if (!this->discards_response) {
        this->Finish(Http1Outcome::kComplete);
        return;
      }
      this->reader =
          std::make_unique<Http1ResponseReader>(this->is_head_request);
      this->head_delivered = false;
      this->discards_response = false;
    } else if (used == 0) {
      return;
    }
  }
}

auto Http1ClientConnection::DeliverHead() -> void {
  if (this->head_delivered) {
    return;
  }
  this->head_delivered = true;
  const Http1ResponseHead head = this->reader->Head();
  this->closes_after_response = !head.keeps_alive;
  const ResponseOwner owner = this->OwnerOf(head);
  if (owner == ResponseOwner::kUnknown && this->is_reused) {
    this->Finish(Http1Outcome::kBroken);
    return;
  }
  this->discards_response =
      head.status < kFirstFinalStatus || owner == ResponseOwner::kOtherRequest;
  if (!this->discards_response && this->exchange.on_head) {
    const auto call = this->exchange.on_head;
    call(head);
  }
}

auto Http1ClientConnection::OwnerOf(const Http1ResponseHead& head) const
    -> ResponseOwner {
  const bool is_final = head.status >= kFirstFinalStatus;
  return is_final && this->exchange.owner_of_response
             ? this->exchange.owner_of_response(head)
             : ResponseOwner::kThisRequest;
}

auto Http1ClientConnection::DeliverBody() -> void {
  std::string body = this->reader->TakeBody();
  if (!body.empty() && !this->discards_response && this->exchange.on_body) {
    const auto call = this->exchange.on_body;
    call(std::move(body));
  }
}

auto Http1ClientConnection::OnEnd(TcpCloseReason end) -> void {
  const auto self = this->shared_from_this();
  if (!this->reader) {
    if (const auto call = std::exchange(this->on_idle_end, {})) {
      call();
    }
    return;
  }
  if (end == TcpCloseReason::kNotConnected || !this->connection->has_sent()) {
    this->Finish(Http1Outcome::kNotSent);
    return;
  }
  if (!this->reader->has_started() || this->discards_response) {
    this->Finish(Http1Outcome::kNoResponse);
    return;
  }
  if (end == TcpCloseReason::kClosedByPeer && this->reader->has_header()) {
    this->reader->FeedEnd();
    this->DeliverBody();
    if (this->reader && this->reader->is_done() &&
        !this->reader->has_failed()) {
      this->Finish(Http1Outcome::kComplete);
      return;
    }
  }
  this->Finish(Http1Outcome::kBroken);
}

auto Http1ClientConnection::Finish(Http1Outcome outcome) -> void {
  const auto self = this->shared_from_this();
  const auto call = this->exchange.on_done;
  this->exchange = {};
  this->reader.reset();
  this->is_reused = true;
  if (outcome != Http1Outcome::kComplete ||
      !this->connection->input().empty() ||
      this->connection->unsent_bytes() > 0) {
    // Surplus input, or request bytes that are still unsent, would be taken as
    // part of the next exchange.
    this->closes_after_response = true;
    this->connection->Close();
  }
  if (call) {
    call(outcome);
  }
}

}  // namespace auburnloft

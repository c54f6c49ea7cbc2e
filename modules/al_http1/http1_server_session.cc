#include "al_http1/http1_server_session.h"

#include <cassert>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;

/** Smaller bodies always find memory, so that callers with large ones do not
    keep others from being served. */
constexpr std::size_t kMinLargeBodyBytes = std::size_t{64} * 1024;

/** How long the caller may take to read the response of a connection that is
   being closed. */
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

/** While more response bytes than this are unsent, no further request is read:
   a caller that pipelines requests and reads no response would fill the memory.
 */
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;

auto ReasonPhrase(int status) -> std::string_view {
  switch (status) {
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

}  // namespace

Http1ServerSession::Http1ServerSession(SocketPoller& poller,
                                       const Http1SessionLimits& limits,
                                       OnRequest on_request,
                                       OnClosed on_closed,
                                       std::shared_ptr<ByteBudget> large_bodies)
    : poller(poller),
      limits(limits),
      on_request(std::move(on_request)),
      on_closed(std::move(on_closed)),
      reader(std::make_unique<Http1RequestReader>(limits.request)),
      large_body(std::move(large_bodies)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->OnTimeout(); })) {}

Http1ServerSession::~Http1ServerSession() {
  if (this->connection) {
    this->connection->SetCallbacks({});
    if (this->state != State::kClosed) {
      this->connection->Close();
    }
  }
}

auto Http1ServerSession::Open(SocketPoller& poller,
                              int descriptor,
                              const Http1SessionLimits& limits,
                              OnRequest on_request,
                              OnClosed on_closed,
                              std::shared_ptr<ByteBudget> large_bodies)
    -> std::shared_ptr<Http1ServerSession> {
  std::shared_ptr<Http1ServerSession> session(
      new Http1ServerSession(poller, limits, std::move(on_request),
                             std::move(on_closed), std::move(large_bodies)));
  TcpConnection::Callbacks callbacks;
  callbacks.on_input = [self = session.get()] { self->OnInput(); };
  callbacks.on_flushed = [self = session.get()] { self->OnFlushed(); };
  callbacks.on_end = [self = session.get()](TcpCloseReason /*end*/) {
    self->OnEnd();
  };
  session->connection =
      TcpConnection::Adopt(poller, descriptor, std::move(callbacks));
  if (!session->connection) {
    return nullptr;
  }
  session->idle_since = poller.loop().Now();
  session->timer->Start(limits.idle_timeout);
  return session;
}

//==============================================================================
// Commands of the request handler

auto Http1ServerSession::SetExchangeCallbacks(ExchangeCallbacks callbacks)
    -> void {
  this->exchange = std::move(callbacks);
}

auto Http1ServerSession::CloseAfterResponse() -> void {
  assert(this->is_serving());
  this->caller_keeps_alive = false;
}

auto Http1ServerSession::Respond(const Http1ResponseHead& head,
                                 std::string_view body) -> void {
  assert(this->is_serving());
  this->closes =
      !this->caller_keeps_alive || this->limits.closes_after_response;
  std::string bytes = SerializeResponseHead(head, Http1Framing::kLength,
                                            body.size(), this->closes);
  if (!this->is_head_request) {
    bytes.append(body);
  }
  this->connection->Write(bytes);
  this->EndExchange();
}

auto Http1ServerSession::StartResponse(const Http1ResponseHead& head) -> void {
  assert(this->is_serving());
  this->closes =
      !this->caller_keeps_alive || this->limits.closes_after_response;
  this->connection->Write(
      SerializeResponseHead(head, Http1Framing::kChunked, 0, this->closes));
}

auto Http1ServerSession::Send(std::string_view bytes) -> void {
  assert(this->is_serving());
  if (!bytes.empty()) {
    this->connection->Write(EncodeChunk(bytes));
  }
}

auto Http1ServerSession::FinishResponse() -> void {
  assert(this->is_serving());
  this->connection->Write(kLastChunk);
  this->EndExchange();
}

auto Http1ServerSession::Abort() -> void {
  assert(this->is_serving());
  this->connection->CloseGracefully(kLingerTimeout);
  this->MarkClosed();
}

//==============================================================================
// Commands of the server

auto Http1ServerSession::CloseIfIdle(Duration min_idle) -> void {
  const bool is_idle = this->state == State::kReading &&
                       !this->reader->has_started() &&
                       this->connection->input().empty();
  if (is_idle && this->poller.loop().Now() - this->idle_since >= min_idle) {
    this->connection->CloseGracefully(kLingerTimeout);
    this->MarkClosed();
  }
}

auto Http1ServerSession::unsent_bytes() const -> std::size_t {
  return this->connection->unsent_bytes();
}

//==============================================================================

auto Http1ServerSession::OnInput() -> void {
  if (this->state == State::kReading) {
    this->ReadNext();
  }
}

auto Http1ServerSession::OnFlushed() -> void {
  if (this->exchange.on_flushed) {
    const auto call = this->exchange.on_flushed;
    call();
    return;
  }
  if (std::exchange(this->waits_for_reader, false)) {
    this->connection->SetReadingPaused(false);
    this->DeferReadNext();
  }
}

auto Http1ServerSession::DeferReadNext() -> void {
  this->poller.loop().Post([weak = this->weak_from_this()] {
    if (const auto session = weak.lock();
        session && session->state == State::kReading) {
      session->ReadNext();
    }
  });
}

auto Http1ServerSession::ReadNext() -> void {
  if (this->waits_for_reader) {
    return;
  }
  const bool had_started = this->reader->has_started();
  const std::string_view input = this->connection->input();
  if (input.empty()) {
    return;
  }
  if (!had_started) {
    this->timer->Start(this->limits.header_timeout);
  }
  this->connection->Consume(this->reader->Feed(input));
  if (this->reader->error_status() != 0) {
    this->Refuse(this->reader->error_status());
    return;
  }
  const std::size_t body_bytes = this->reader->body_bytes();
  if (body_bytes > kMinLargeBodyBytes && !this->large_body.Resize(body_bytes)) {
    this->Refuse(kServiceUnavailable);
    return;
  }
  if (!this->reader->is_done()) {
    if (this->reader->expects_continue() && !this->sent_continue) {
      this->sent_continue = true;
      this->connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (this->reader->has_header()) {
      // The body has no total time limit, but each part must arrive in time.
      this->timer->Start(this->limits.idle_timeout);
    }
    return;
  }
  this->timer->Stop();
  Http1Request request = this->reader->TakeRequest();
  this->reader = std::make_unique<Http1RequestReader>(this->limits.request);
  this->sent_continue = false;
  this->caller_keeps_alive = request.keeps_alive;
  this->is_head_request = request.method == "HEAD";
  this->state = State::kServing;
  const OnRequest call = this->on_request;
  call(this->shared_from_this(), std::move(request));
}

auto Http1ServerSession::OnEnd() -> void {
  const auto self = this->shared_from_this();
  const auto call = this->exchange.on_disconnect;
  const bool was_serving = this->is_serving();
  this->MarkClosed();
  if (was_serving && call) {
    call();
  }
}

auto Http1ServerSession::OnTimeout() -> void {
  if (this->waits_for_reader) {
    this->connection->Close();
    this->MarkClosed();
  } else if (this->reader->has_started()) {
    this->Refuse(kRequestTimeout);
  } else {
    this->CloseIfIdle(Duration(0));
  }
}

auto Http1ServerSession::Refuse(int status) -> void {
  Http1ResponseHead head;
  head.status = status;
  head.reason = ReasonPhrase(status);
  if (status == kServiceUnavailable) {
    head.fields.Add("Retry-After", "1");
  }
  this->connection->Write(
      SerializeResponseHead(head, Http1Framing::kLength, 0, true));
  this->connection->CloseGracefully(kLingerTimeout);
  this->MarkClosed();
}

auto Http1ServerSession::EndExchange() -> void {
  const auto self = this->shared_from_this();
  this->exchange = {};
  this->large_body.Release();
  if (this->closes) {
    this->connection->CloseGracefully(kLingerTimeout);
    this->MarkClosed();
    return;
  }
  this->state = State::kReading;
  this->idle_since = this->poller.loop().Now();
  this->timer->Start(this->limits.idle_timeout);
  if (this->connection->unsent_bytes() > kMaxUnsentBytes) {
    this->waits_for_reader = true;
    this->connection->SetReadingPaused(true);
  } else if (!this->connection->input().empty()) {
    this->DeferReadNext();
  }
}

auto Http1ServerSession::MarkClosed() -> void {
  if (this->state == State::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  this->state = State::kClosed;
  this->exchange = {};
  this->large_body.Release();
  this->timer->Stop();
  if (this->on_closed) {
    this->on_closed(this);
  }
}

}  // namespace auburnloft

#include "al_http1/http1_server_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;

/** How long the caller may take to read the response of a connection that is
   being closed. */
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

/** While more response bytes than this are unsent, no further request is read:
   a caller that pipelines requests and reads no response would fill the memory.
   Also the number from which on a stream waits for its caller: many times the
   events of a round trip. */
constexpr std::size_t kMaxUnsentBytes = std::size_t{32} * 1024;

/** The same when memory is short: less than an event of a stream, so that one
   waits at most. */
constexpr std::size_t kMaxUnsentBytesIfTight = std::size_t{1} * 1024;

/** Input that is kept while a request is open: the start of another one. No
   caller of the users' platform sends one before it has its response. */
constexpr std::size_t kMaxInputWhileServing = std::size_t{4} * 1024;

/** What is dropped of a caller that sends more than that, before its connection
   is read no further. The end of the connection, which must cancel the request,
   lies behind these bytes. */
constexpr std::size_t kMaxDroppedBytes = std::size_t{8} << 20;

/** Input that is kept while a request is read: the limit of a chunked body's
   framing, which must arrive whole, and a part of its content. */
constexpr std::size_t kMaxInputWhileReading = std::size_t{80} * 1024;

/** What the kernel may keep of a caller while its connection is not read: the
   receive buffer that Http1Server sets. */
constexpr std::size_t kPausedBytes = std::size_t{16} * 1024;

/** What an open request takes beyond its own bytes: its handler, its connection
   to an upstream and that one's buffers. 262 unread streams took 47 KB each in
   all (docs/CAPACITY.md). */
constexpr std::size_t kOpenRequestBytes = std::size_t{28} * 1024;

/** What the buffers of an open request are to find: the response that it may
   get, which cannot be refused any more. Several events of a stream. */
constexpr std::size_t kOpenBufferBytes = std::size_t{12} * 1024;

/** Maximum time of a body, in idle time-outs (5 minutes by default). The
   largest body takes 3.4 s over the slowest link of 10 Mbit/s. */
constexpr int kMaxBodyIdleTimeouts = 20;

/** Part of the idle time-out for which callers are told that they may reuse a
    connection. The rest is for the way of a request: a loop that is held and a
   link that is full of a large configuration take some hundred milliseconds. */
constexpr double kReusablePart = 0.8;

auto ReuseTime(Duration idle_timeout) -> std::chrono::seconds {
  return std::chrono::floor<std::chrono::seconds>(
      std::chrono::duration<double, Duration::period>(idle_timeout) *
      kReusablePart);
}

auto ReasonPhrase(int status) -> std::string_view {
  switch (status) {
    case kRequestTimeout:
      return "Request Timeout";
    case kContentTooLarge:
      return "Content Too Large";
    case kHeaderTooLarge:
      return "Request Header Fields Too Large";
    case kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

}  // namespace

Http1ServerSession::Http1ServerSession(
    SocketPoller& poller,
    const Http1SessionLimits& limits,
    OnRequest on_request,
    OnClosed on_closed,
    std::shared_ptr<const Http1ServerOptions> options)
    : poller(poller),
      limits(limits),
      on_request(std::move(on_request)),
      on_closed(std::move(on_closed)),
      options(std::move(options)),
      charge(this->options->memory,
             {this->options->uses_reserve, [this] { return this->Rank(); },
              [this] { this->CloseForRoom("memory_closed"); }}),
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
                              std::shared_ptr<const Http1ServerOptions> options)
    -> std::shared_ptr<Http1ServerSession> {
  std::shared_ptr<Http1ServerSession> session(
      new Http1ServerSession(poller, limits, std::move(on_request),
                             std::move(on_closed), std::move(options)));
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
  session->connection->SetMaxInputBytes(kMaxInputWhileReading);
  session->StartReader();
  session->idle_since = poller.loop().Now();
  session->charge.RecordProgress(session->idle_since);
  session->UpdateCharge();
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
  std::string bytes = SerializeResponseHead(
      head, Http1Framing::kLength, body.size(), this->DecidePersistence());
  if (!this->is_head_request) {
    bytes.append(body);
  }
  this->connection->Write(bytes);
  this->EndExchange();
}

auto Http1ServerSession::StartResponse(const Http1ResponseHead& head) -> void {
  assert(this->is_serving());
  this->connection->Write(SerializeResponseHead(head, Http1Framing::kChunked, 0,
                                                this->DecidePersistence()));
}

auto Http1ServerSession::Send(std::string_view bytes) -> void {
  assert(this->is_serving());
  if (!bytes.empty()) {
    this->connection->Write(EncodeChunk(bytes));
    this->UpdateCharge();
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
  if (this->state == State::kReading &&
      this->poller.loop().Now() - this->idle_since >= min_idle &&
      !this->HasRequest()) {
    // Nothing is read any more: a request that meets the close is reset, which
    // tells its caller that it was not executed.
    this->connection->Close();
    this->MarkClosed();
  }
}

auto Http1ServerSession::CloseForRoom(std::string_view limit) -> void {
  assert(!this->is_serving());
  if (this->state == State::kClosed) {
    return;
  }
  if (!this->waits_for_reader && this->HasRequest()) {
    this->Refuse(kServiceUnavailable, limit);
    return;
  }
  this->Report(limit);
  this->connection->Close();
  this->MarkClosed();
}

auto Http1ServerSession::unsent_bytes() const -> std::size_t {
  return this->connection->unsent_bytes();
}

auto Http1ServerSession::is_backlogged() const -> bool {
  const MemoryAccount* const account = this->charge.account();
  return this->unsent_bytes() > (account != nullptr && account->is_tight()
                                     ? kMaxUnsentBytesIfTight
                                     : kMaxUnsentBytes);
}

auto Http1ServerSession::HasRequest() const -> bool {
  return this->is_serving() || this->reader->has_started() ||
         !this->connection->input().empty() ||
         this->connection->HasUnreadInput();
}

auto Http1ServerSession::Rank() -> MemoryRank {
  if (this->is_serving()) {
    return MemoryRank::kProtected;
  }
  if (this->state == State::kReading && this->reader->has_header() &&
      this->options->is_useful && !this->is_useful) {
    this->is_useful = this->options->is_useful(this->reader->Head());
  }
  return this->is_useful.value_or(true) ? MemoryRank::kPending
                                        : MemoryRank::kUseless;
}

//==============================================================================

auto Http1ServerSession::OnInput() -> void {
  if (this->state == State::kReading) {
    this->ReadNext();
  } else if (this->is_serving()) {
    this->LimitInput();
  }
}

auto Http1ServerSession::LimitInput() -> void {
  const std::size_t size = this->connection->input().size();
  if (this->dropped_bytes == 0) {
    if (size < kMaxInputWhileServing) {
      return;
    }
    this->Report("pipelined");
    this->caller_keeps_alive = false;
    this->closes = true;
  }
  if (this->dropped_bytes < kMaxDroppedBytes) {
    this->dropped_bytes += size;
    this->connection->Consume(size);
  }
}

auto Http1ServerSession::OnFlushed() -> void {
  if (this->exchange.on_flushed) {
    const auto call = this->exchange.on_flushed;
    call();
    return;
  }
  const Instant now = this->poller.loop().Now();
  this->charge.RecordProgress(now);
  if (this->state == State::kReading && !this->reader->has_started()) {
    // The stated time begins when the caller has the response.
    this->idle_since = now;
    this->timer->Start(this->idle_timeout);
  }
  if (std::exchange(this->waits_for_reader, false)) {
    this->connection->SetReadingPaused(false);
    this->DeferReadNext();
  }
  this->UpdateCharge();
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
  const auto self = this->shared_from_this();
  const bool had_started = this->reader->has_started();
  const std::string_view input = this->connection->input();
  if (input.empty()) {
    return;
  }
  if (!had_started) {
    this->timer->Start(this->limits.header_timeout);
  }
  this->connection->Consume(this->reader->Feed(input));
  const Instant now = this->poller.loop().Now();
  this->charge.RecordProgress(now);
  if (const int status = this->reader->error_status(); status != 0) {
    this->Refuse(status, status == kHeaderTooLarge    ? "head_size"
                         : status == kContentTooLarge ? "body_size"
                                                      : "malformed");
    return;
  }
  if (!this->FindRoom()) {
    return;
  }
  if (!this->reader->is_done()) {
    if (this->reader->expects_continue() && !this->sent_continue) {
      this->sent_continue = true;
      this->connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (this->reader->has_header()) {
      if (this->body_since == Instant()) {
        this->body_since = now;
      }
      if (now - this->body_since >
          kMaxBodyIdleTimeouts * this->limits.idle_timeout) {
        this->Refuse(kRequestTimeout, "body_time");
        return;
      }
      this->timer->Start(this->limits.idle_timeout);
    }
    return;
  }
  this->timer->Stop();
  // The body is kept for a retry, and once more as it is sent.
  this->open_request_bytes = kOpenRequestBytes + this->reader->memory_bytes() +
                             this->reader->body_bytes();
  Http1Request request = this->reader->TakeRequest();
  this->StartReader();
  this->caller_keeps_alive = request.keeps_alive;
  this->is_head_request = request.method == "HEAD";
  this->state = State::kServing;
  this->connection->SetMaxInputBytes(kMaxInputWhileServing);
  this->UpdateCharge();
  const OnRequest call = this->on_request;
  call(this->shared_from_this(), std::move(request));
  if (this->is_serving()) {
    this->LimitInput();
  }
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
  if (this->RestartIfRead()) {
    return;
  }
  if (this->waits_for_reader) {
    this->Report("slow");
    this->connection->Close();
    this->MarkClosed();
  } else if (this->reader->has_started()) {
    this->Refuse(kRequestTimeout, "slow");
  } else {
    this->CloseIfIdle(Duration(0));
    if (this->state == State::kReading) {
      this->timer->Start(this->limits.idle_timeout);
    }
  }
}

auto Http1ServerSession::RestartIfRead() -> bool {
  const std::size_t unsent = this->unsent_bytes();
  if (unsent == 0 || unsent >= this->unsent_at_start) {
    return false;
  }
  this->unsent_at_start = unsent;
  this->timer->Start(this->limits.idle_timeout);
  return true;
}

auto Http1ServerSession::FindRoom() -> bool {
  this->UpdateCharge();
  const std::size_t body_bytes = this->reader->body_bytes();
  const bool is_covered = body_bytes <= MemoryAccount::kMinLargeBodyBytes ||
                          this->charge.SetLargeBody(body_bytes);
  MemoryAccount* const account = this->charge.account();
  if (is_covered && (account == nullptr || account->MakeRoom(&this->charge))) {
    return this->state != State::kClosed;
  }
  if (this->state != State::kClosed) {
    account->CountRefusal();
    this->Refuse(kServiceUnavailable, "memory_refused");
  }
  return false;
}

auto Http1ServerSession::UpdateCharge() -> void {
  const std::size_t buffers =
      std::max(this->connection->buffer_bytes(),
               this->is_serving() ? kOpenBufferBytes : 0);
  this->charge.Set(MemoryAccount::kConnectionBytes + buffers +
                   this->reader->memory_bytes() + this->open_request_bytes +
                   (this->waits_for_reader ? kPausedBytes : 0));
}

auto Http1ServerSession::RequestLimits() const -> Http1RequestLimits {
  Http1RequestLimits result = this->limits.request;
  if (!this->options->takes_bodies) {
    result.body_bytes = 0;
  }
  return result;
}

auto Http1ServerSession::StartReader() -> void {
  this->reader = std::make_unique<Http1RequestReader>(this->RequestLimits());
  this->sent_continue = false;
  this->is_useful.reset();
  this->body_since = {};
}

auto Http1ServerSession::Report(std::string_view limit) const -> void {
  if (this->options->on_limit) {
    this->options->on_limit({limit, this->charge.bytes()});
  }
}

auto Http1ServerSession::Refuse(int status, std::string_view limit) -> void {
  this->Report(limit);
  Http1ResponseHead head;
  head.status = status;
  head.reason = ReasonPhrase(status);
  if (status == kServiceUnavailable) {
    head.fields.Add("Retry-After", "1");
  }
  this->connection->Write(
      SerializeResponseHead(head, Http1Framing::kLength, 0, {true}));
  this->connection->CloseGracefully(kLingerTimeout);
  this->MarkClosed();
}

auto Http1ServerSession::DecidePersistence() -> Http1Persistence {
  this->closes =
      !this->caller_keeps_alive || this->limits.closes_after_response;
  this->idle_timeout = this->limits.idle_timeout;
  return {this->closes, ReuseTime(this->idle_timeout)};
}

auto Http1ServerSession::EndExchange() -> void {
  const auto self = this->shared_from_this();
  this->exchange = {};
  this->open_request_bytes = 0;
  static_cast<void>(this->charge.SetLargeBody(0));  // Less is always covered.
  if (this->closes) {
    this->connection->CloseGracefully(kLingerTimeout);
    this->MarkClosed();
    return;
  }
  this->state = State::kReading;
  this->idle_since = this->poller.loop().Now();
  this->charge.RecordProgress(this->idle_since);
  this->unsent_at_start = this->unsent_bytes();
  this->timer->Start(this->idle_timeout);
  if (this->is_backlogged()) {
    this->waits_for_reader = true;
    this->connection->SetReadingPaused(true);
  } else if (!this->connection->input().empty()) {
    this->DeferReadNext();
  }
  this->connection->SetMaxInputBytes(kMaxInputWhileReading);
  this->UpdateCharge();
}

auto Http1ServerSession::MarkClosed() -> void {
  if (this->state == State::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  this->state = State::kClosed;
  this->exchange = {};
  this->charge.Release();
  this->timer->Stop();
  if (this->on_closed) {
    this->on_closed(this);
  }
}

}  // namespace auburnloft

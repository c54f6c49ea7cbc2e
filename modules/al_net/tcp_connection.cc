#include "al_net/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft {

namespace {

/** Reading pauses when input() reaches this, unless the owner sets another
   limit: enough for the largest header and several events of a stream. */
constexpr std::size_t kMaxInputBytes = std::size_t{256} * 1024;

/** Empty buffers of more than this are released, so that an idle connection
   keeps no more than a usual request or response takes. */
constexpr std::size_t kKeptBufferBytes = 1'024;

/** Bytes per recv() call. */
constexpr std::size_t kReadChunkBytes = std::size_t{16} * 1024;

/** Bytes that one connection reads in a turn of the loop. The others, and the
   timers, get their turn before it reads on. */
constexpr std::size_t kMaxBytesPerTurn = std::size_t{64} * 1024;

/** Bytes that are read and discarded while a connection closes gracefully: more
   than the body of a usual request, so that its caller gets to read why it was
   refused. */
constexpr std::size_t kMaxDiscardedBytes = std::size_t{8} << 20;

/** A connection closes when sent bytes stay unacknowledged for this time. It
   survives a network partition that ends sooner. */
constexpr int kUnacknowledgedTimeoutMs = 4'000;

/** Keep-alive probes of an idle connection: idle time before the first probe,
   interval between probes, and lost probes after which it closes. */
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxLostProbes = 3;

auto SetOption(int descriptor, int level, int name, int value) -> void {
  // Ignores failure: without the option, an unresponsive peer is detected
  // later.
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

auto ReleaseIfLarge(std::string& buffer) -> void {
  buffer.clear();
  if (buffer.capacity() > kKeptBufferBytes) {
    std::string().swap(buffer);
  }
}

auto SetOptions(int descriptor) -> void {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            kUnacknowledgedTimeoutMs);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxLostProbes);
}

}  // namespace

auto ParseSocketAddress(std::string_view text, sockaddr_in& address) -> bool {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) {
    return false;
  }
  address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  return inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1;
}

TcpConnection::TcpConnection(SocketPoller& poller,
                             int descriptor,
                             Callbacks callbacks)
    : poller(poller),
      descriptor(descriptor),
      callbacks(std::move(callbacks)),
      max_input_bytes(kMaxInputBytes) {}

TcpConnection::~TcpConnection() {
  this->Close();
}

//==============================================================================
// Commands

auto TcpConnection::Connect(SocketPoller& poller,
                            std::string_view address,
                            Duration timeout,
                            Callbacks callbacks)
    -> std::shared_ptr<TcpConnection> {
  sockaddr_in target{};
  if (!ParseSocketAddress(address, target)) {
    return nullptr;
  }
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  SetOptions(descriptor);
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(poller, descriptor, std::move(callbacks)));
  const int status = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  if ((status != 0 && errno != EINPROGRESS) || !connection->Watch()) {
    return nullptr;
  }
  // A raw pointer is safe: the connection owns the timer, so the timer ends
  // first.
  connection->timer =
      std::make_unique<LoopTimer>(poller.loop(), [raw = connection.get()] {
        raw->CloseAndNotify(TcpCloseReason::kNotConnected);
      });
  connection->timer->Start(timeout);
  return connection;
}

auto TcpConnection::Adopt(SocketPoller& poller,
                          int descriptor,
                          Callbacks callbacks)
    -> std::shared_ptr<TcpConnection> {
  SetOptions(descriptor);
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(poller, descriptor, std::move(callbacks)));
  connection->established = true;
  return connection->Watch() ? connection : nullptr;
}

auto TcpConnection::SetCallbacks(Callbacks callbacks) -> void {
  this->callbacks = std::move(callbacks);
}

auto TcpConnection::Write(std::string_view bytes) -> void {
  if (!this->is_open() || this->is_shutting_down) {
    return;
  }
  if (this->established && this->unsent_bytes() == 0) {
    // Ignores failure: the error also causes an event of the poller, and
    // OnReady() then reads to the end and calls on_end.
    bytes.remove_prefix(this->SendNow(bytes).value_or(0));
  }
  this->output.append(bytes);
}

auto TcpConnection::Consume(std::size_t count) -> void {
  this->consumed += count;
  if (this->consumed == this->received.size()) {
    ReleaseIfLarge(this->received);
    this->consumed = 0;
  } else if (this->consumed > kReadChunkBytes) {
    this->received.erase(0, this->consumed);
    this->consumed = 0;
  }
  if (this->input_full && this->input().size() <= this->max_input_bytes / 2) {
    this->input_full = false;
    this->ResumeReading();
  }
}

auto TcpConnection::SetMaxInputBytes(std::size_t bytes) -> void {
  this->max_input_bytes = bytes;
  this->ends_if_full = true;
  if (this->input_full && this->input().size() < bytes) {
    this->input_full = false;
    this->ResumeReading();
  }
}

auto TcpConnection::SetReadingPaused(bool paused) -> void {
  const bool resumes = this->paused_by_owner && !paused;
  this->paused_by_owner = paused;
  if (resumes) {
    this->ResumeReading();
  }
}

auto TcpConnection::Close() -> void {
  if (!this->is_open()) {
    return;
  }
  if (this->watch_token != 0) {
    this->poller.Remove(this->watch_token, this->descriptor);
  }
  close(this->descriptor);
  this->descriptor = -1;
  this->timer.reset();
}

auto TcpConnection::CloseGracefully(Duration timeout) -> void {
  if (!this->is_open() || !this->established) {
    this->Close();
    return;
  }
  this->is_shutting_down = true;
  this->callbacks = {};
  ReleaseIfLarge(this->received);
  this->consumed = 0;
  this->input_full = false;
  // Keeps reading and discards the bytes until the peer closes. Closing a
  // socket with unread input would reset the connection.
  this->SetReadingPaused(false);
  if (this->unsent_bytes() == 0) {
    shutdown(this->descriptor, SHUT_WR);
  }
  // The captured pointer keeps the connection alive until the peer closes or
  // the timeout.
  this->timer = std::make_unique<LoopTimer>(
      this->poller.loop(),
      [self = this->shared_from_this()] { self->Close(); });
  this->timer->Start(timeout);
}

//==============================================================================

auto TcpConnection::Watch() -> bool {
  this->watch_token = this->poller.Add(
      this->descriptor,
      [weak = this->weak_from_this()](SocketPoller::Readiness readiness) {
        if (const auto self = weak.lock()) {
          self->OnReady(readiness);
        }
      });
  return this->watch_token != 0;
}

auto TcpConnection::HasUnreadInput() const -> bool {
  pollfd watched{this->descriptor, POLLIN, 0};
  return this->is_open() && poll(&watched, 1, 0) > 0;
}

auto TcpConnection::OnReady(SocketPoller::Readiness readiness) -> void {
  this->peer_closed = this->peer_closed || readiness.peer_closed;
  if (!this->established) {
    if (!readiness.writable || !this->FinishConnect()) {
      return;
    }
  }
  if (readiness.writable && this->is_open() && this->unsent_bytes() > 0) {
    if (!this->Flush()) {
      // Nothing more can be sent, but what has arrived may be whole.
      this->ReadAvailable();
      return;
    }
    if (this->unsent_bytes() == 0) {
      if (this->is_shutting_down) {
        // Sends FIN and waits for the peer to close. Closing a socket that has
        // unread input would reset the connection and lose the response.
        shutdown(this->descriptor, SHUT_WR);
      }
      if (this->callbacks.on_flushed) {
        // A copy, as for each callback below: the callback may replace it.
        const auto call = this->callbacks.on_flushed;
        call();
      }
    }
  }
  if (readiness.readable && this->is_open()) {
    this->ReadAvailable();
  }
}

auto TcpConnection::FinishConnect() -> bool {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->CloseAndNotify(error == ECONNREFUSED ? TcpCloseReason::kRefused
                                               : TcpCloseReason::kNotConnected);
    return false;
  }
  this->timer.reset();
  this->established = true;
  if (this->callbacks.on_connected) {
    const auto call = this->callbacks.on_connected;
    call();
  }
  return this->is_open();
}

auto TcpConnection::ReadAvailable() -> void {
  const auto self = this->shared_from_this();
  std::array<char, kReadChunkBytes> chunk;  // NOLINT: filled by recv().
  bool has_new_input = false;
  std::size_t bytes_in_turn = 0;
  TcpCloseReason reason = TcpCloseReason::kOpen;
  while (!this->paused_by_owner && !this->input_full) {
    if (bytes_in_turn >= kMaxBytesPerTurn) {
      this->ResumeReading();
      break;
    }
    if (this->input().size() >= this->max_input_bytes) {
      this->input_full = true;
      break;
    }
    const std::size_t size =
        std::min(chunk.size(), this->max_input_bytes - this->input().size());
    const ssize_t count = recv(this->descriptor, chunk.data(), size, 0);
    if (count > 0) {
      bytes_in_turn += static_cast<std::size_t>(count);
      if (this->is_shutting_down) {
        this->discarded_bytes += static_cast<std::size_t>(count);
        if (this->discarded_bytes > kMaxDiscardedBytes) {
          this->Close();
          return;
        }
      } else {
        this->received.append(chunk.data(), static_cast<std::size_t>(count));
        has_new_input = true;
      }
      // Goes on until the socket is empty: a FIN that arrived together with
      // these bytes causes no event of its own.
      if (has_new_input && static_cast<std::size_t>(count) == chunk.size()) {
        has_new_input = false;
        if (!this->NotifyInput()) {
          return;
        }
      }
    } else if (count == 0) {
      reason = TcpCloseReason::kClosedByPeer;
      break;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      reason = TcpCloseReason::kReset;
      break;
    }
  }
  if (has_new_input) {
    this->NotifyInput();
  }
  reason = this->EndAfterReading(reason);
  if (reason != TcpCloseReason::kOpen && this->is_open()) {
    this->CloseAndNotify(reason);
  }
}

auto TcpConnection::EndAfterReading(TcpCloseReason reason) const
    -> TcpCloseReason {
  if (this->input_full && this->ends_if_full && this->peer_closed) {
    // The end itself lies behind input that is not read.
    return TcpCloseReason::kClosedByPeer;
  }
  if (reason == TcpCloseReason::kClosedByPeer) {
    return this->end_after_failed_write.value_or(reason);
  }
  if (reason == TcpCloseReason::kOpen && this->end_after_failed_write &&
      !this->resume_posted) {
    // The end cannot be read now, and no event will tell of it later.
    return TcpCloseReason::kReset;
  }
  return reason;
}

auto TcpConnection::NotifyInput() -> bool {
  if (this->callbacks.on_input) {
    const auto call = this->callbacks.on_input;
    call();
  }
  return this->is_open();
}

auto TcpConnection::ResumeReading() -> void {
  if (std::exchange(this->resume_posted, true)) {
    return;
  }
  // The poller is edge-triggered: bytes that arrived before cause no new event.
  this->poller.loop().Post([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->resume_posted = false;
    if (self->is_open()) {
      self->ReadAvailable();
    }
  });
}

auto TcpConnection::Flush() -> bool {
  const auto count = this->SendNow(
      std::string_view(this->output).substr(this->sent_output_bytes));
  if (!count) {
    return false;
  }
  this->sent_output_bytes += *count;
  if (this->unsent_bytes() == 0) {
    ReleaseIfLarge(this->output);
    this->sent_output_bytes = 0;
  } else if (this->sent_output_bytes >= this->unsent_bytes()) {
    // Otherwise the buffer of a peer that never takes all would keep what it
    // has taken. Moves each byte at most once on average.
    this->output.erase(0, std::exchange(this->sent_output_bytes, 0));
  }
  return true;
}

auto TcpConnection::SendNow(std::string_view bytes)
    -> std::optional<std::size_t> {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(this->descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      this->has_sent_bytes = true;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      if (!this->end_after_failed_write) {
        // The kernel reports an error once, here in place of recv(), which then
        // returns 0 as after a FIN. A reset behind a FIN is reported as EPIPE.
        this->end_after_failed_write = errno == EPIPE
                                           ? TcpCloseReason::kClosedByPeer
                                           : TcpCloseReason::kReset;
      }
      return std::nullopt;
    }
  }
  return sent;
}

auto TcpConnection::CloseAndNotify(TcpCloseReason reason) -> void {
  const auto self = this->shared_from_this();
  const auto call = this->callbacks.on_end;
  this->Close();
  if (call) {
    call(reason);
  }
}

}  // namespace auburnloft

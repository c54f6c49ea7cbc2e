#include "al_net/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft {

namespace {

/** Unread bytes at which reading pauses: a header of the largest kind and some
   events of a stream fit. */
constexpr std::size_t kMostUnread = std::size_t{256} * 1024;

/** Bytes read by one call. */
constexpr std::size_t kReadChunk = std::size_t{16} * 1024;

/** Unacknowledged bytes end a connection after this; a partition that heals
   sooner does not. In milliseconds. */
constexpr int kUnacknowledgedMs = 4'000;

/** Keep-alive probes of an idle connection: the first after, and the pause
   between, in seconds, and how many may be lost. */
constexpr int kProbeAfterSeconds = 2;
constexpr int kProbePauseSeconds = 1;
constexpr int kProbesLost = 3;

auto SetOption(int descriptor, int level, int name, int value) -> void {
  // A refused option only makes a silent peer noticed later.
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

auto SetOptions(int descriptor) -> void {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbePauseSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbesLost);
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
    : poller(poller), descriptor(descriptor), calls(std::move(callbacks)) {}

TcpConnection::~TcpConnection() {
  this->Close();
}

//==============================================================================
// Commands

auto TcpConnection::Connect(SocketPoller& poller,
                            std::string_view address,
                            Duration limit,
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
  connection->timer = std::make_unique<LoopTimer>(
      poller.loop(),
      [self = connection.get()] { self->End(TcpCloseReason::kNotConnected); });
  connection->timer->Start(limit);
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
  this->calls = std::move(callbacks);
}

auto TcpConnection::Write(std::string_view bytes) -> void {
  if (!this->is_open() || this->closing) {
    return;
  }
  this->output.append(bytes);
  if (this->established) {
    this->Flush();  // A failure shows as an event of the socket.
  }
}

auto TcpConnection::Consume(std::size_t count) -> void {
  this->consumed += count;
  if (this->consumed == this->received.size()) {
    this->received.clear();
    this->consumed = 0;
  } else if (this->consumed > kReadChunk) {
    this->received.erase(0, this->consumed);
    this->consumed = 0;
  }
  if (this->full && this->input().size() <= kMostUnread / 2) {
    this->full = false;
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
  if (this->token != 0) {
    this->poller.Remove(this->token, this->descriptor);
  }
  close(this->descriptor);
  this->descriptor = -1;
  this->timer.reset();
}

auto TcpConnection::CloseAfterWrite(Duration limit) -> void {
  if (!this->is_open() || !this->established) {
    this->Close();
    return;
  }
  this->closing = true;
  this->calls = {};
  this->received.clear();
  this->consumed = 0;
  this->full = false;
  this->SetReadingPaused(false);
  if (this->unsent_bytes() == 0) {
    shutdown(this->descriptor, SHUT_WR);
  }
  this->timer = std::make_unique<LoopTimer>(
      this->poller.loop(),
      [self = this->shared_from_this()] { self->Close(); });
  this->timer->Start(limit);
}

//==============================================================================

auto TcpConnection::Watch() -> bool {
  this->token = this->poller.Add(
      this->descriptor,
      [weak = this->weak_from_this()](SocketPoller::Readiness readiness) {
        if (const auto self = weak.lock()) {
          self->OnReady(readiness);
        }
      });
  return this->token != 0;
}

auto TcpConnection::OnReady(SocketPoller::Readiness readiness) -> void {
  if (!this->established) {
    if (!readiness.writable || !this->FinishConnect()) {
      return;
    }
  }
  if (readiness.writable && this->is_open() && this->unsent_bytes() > 0) {
    if (!this->Flush()) {
      this->End(TcpCloseReason::kReset);
      return;
    }
    if (this->unsent_bytes() == 0) {
      if (this->closing) {
        // The peer reads to the end, and closes: closing first with unread
        // bytes would reset the connection and lose the answer.
        shutdown(this->descriptor, SHUT_WR);
      }
      if (this->calls.on_flushed) {
        const auto call = this->calls.on_flushed;
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
    this->End(TcpCloseReason::kNotConnected);
    return false;
  }
  this->timer.reset();
  this->established = true;
  if (this->calls.on_connected) {
    const auto call = this->calls.on_connected;
    call();
  }
  return this->is_open();
}

auto TcpConnection::ReadAvailable() -> void {
  std::array<char, kReadChunk> chunk;  // NOLINT: filled by recv().
  bool grown = false;
  TcpCloseReason end = TcpCloseReason::kOpen;
  while (!this->paused_by_owner && !this->full) {
    if (this->input().size() > kMostUnread) {
      this->full = true;
      break;
    }
    const ssize_t count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (count > 0) {
      if (!this->closing) {
        this->received.append(chunk.data(), static_cast<std::size_t>(count));
        grown = true;
      }
      if (static_cast<std::size_t>(count) < chunk.size()) {
        // A short read empties the socket; its end raises an event of its own,
        // unless that arrived together with these bytes.
        continue;
      }
    } else if (count == 0) {
      end = TcpCloseReason::kClosedByPeer;
      break;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      end = TcpCloseReason::kReset;
      break;
    }
  }
  const auto self = this->shared_from_this();
  if (grown && this->calls.on_input) {
    const auto call = this->calls.on_input;
    call();
  }
  if (end != TcpCloseReason::kOpen && this->is_open()) {
    this->End(end);
  }
}

auto TcpConnection::ResumeReading() -> void {
  // Edge-triggered: what arrived meanwhile is not announced again.
  this->poller.loop().Defer([weak = this->weak_from_this()] {
    if (const auto self = weak.lock(); self && self->is_open()) {
      self->ReadAvailable();
    }
  });
}

auto TcpConnection::Flush() -> bool {
  while (this->unsent_bytes() > 0) {
    const ssize_t count =
        send(this->descriptor, this->output.data() + this->sent,
             this->unsent_bytes(), MSG_NOSIGNAL);
    if (count > 0) {
      this->sent += static_cast<std::size_t>(count);
      this->sent_any = true;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return true;
    } else if (errno != EINTR) {
      return false;
    }
  }
  this->output.clear();
  this->sent = 0;
  return true;
}

auto TcpConnection::End(TcpCloseReason end) -> void {
  const auto self = this->shared_from_this();
  const auto call = this->calls.on_end;
  this->Close();
  if (call) {
    call(end);
  }
}

}  // namespace auburnloft

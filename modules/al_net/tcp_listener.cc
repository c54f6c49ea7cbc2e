#include "al_net/tcp_listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "al_net/tcp_connection.h"

namespace auburnloft {

namespace {

/** The kernel's queue of connections that are not yet accepted. Large enough
   for all clients of several failed routers to reconnect at once. */
constexpr int kBacklog = 1024;

}  // namespace

TcpListener::TcpListener(SocketPoller& poller, OnAccepted on_accepted)
    : poller(poller), on_accepted(std::move(on_accepted)) {}

TcpListener::~TcpListener() {
  this->Close();
}

auto TcpListener::Listen(std::string_view address, SocketBuffers buffers)
    -> bool {
  sockaddr_in local{};
  if (!ParseSocketAddress(address, local)) {
    return false;
  }
  this->descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted sockets inherit them, also those that wait to be accepted.
  if (buffers.receive_bytes > 0) {
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffers.receive_bytes,
               sizeof(buffers.receive_bytes));
  }
  if (buffers.send_bytes > 0) {
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDBUF, &buffers.send_bytes,
               sizeof(buffers.send_bytes));
  }
  if (bind(this->descriptor, reinterpret_cast<const sockaddr*>(&local),
           sizeof(local)) != 0 ||
      listen(this->descriptor, kBacklog) != 0) {
    return false;
  }
  this->token = this->poller.Add(
      this->descriptor,
      [this](SocketPoller::Readiness /*readiness*/) { this->AcceptPending(); });
  return this->token != 0;
}

auto TcpListener::Close() -> void {
  if (this->descriptor >= 0) {
    this->poller.Remove(this->token, this->descriptor);
    close(this->descriptor);
    this->descriptor = -1;
  }
}

auto TcpListener::AcceptPending() -> void {
  while (this->descriptor >= 0) {
    const int socket = accept4(this->descriptor, nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      this->on_accepted(socket);
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

}  // namespace auburnloft

#ifndef AL_NET_TCP_LISTENER_H_
#define AL_NET_TCP_LISTENER_H_

#include <functional>
#include <string_view>

#include "al_net/socket_poller.h"

namespace auburnloft {

/** Sizes of a socket's buffers in the kernel, in bytes; 0: the kernel's
    default. The kernel takes up to twice as much memory. */
struct SocketBuffers {
  int receive_bytes = 0;
  int send_bytes = 0;
};

/** Accepts TCP connections at one address.

    Thread safety: none; use on the loop's thread.
*/
class TcpListener {
 public:
  /** Receives an accepted socket and takes ownership of it. */
  using OnAccepted = std::function<void(int descriptor)>;

  TcpListener(SocketPoller& poller, OnAccepted on_accepted);
  ~TcpListener();

  TcpListener(const TcpListener&) = delete;
  auto operator=(const TcpListener&) -> TcpListener& = delete;

  /** Listens at `address`, an `ip:port`.
      @param buffers  of accepted sockets; the kernel's defaults if 0.
      @return false if the address is invalid or cannot be bound. */
  [[nodiscard]] auto Listen(std::string_view address,
                            SocketBuffers buffers = {}) -> bool;

  /** Accepts the connections that are waiting in the kernel's queue now. */
  auto AcceptPending() -> void;

  /** Stops accepting. Accepted connections stay open. */
  auto Close() -> void;

 private:
  SocketPoller& poller;
  OnAccepted on_accepted;
  int descriptor = -1;
  SocketPoller::Token token = 0;
};

}  // namespace auburnloft

#endif  // AL_NET_TCP_LISTENER_H_

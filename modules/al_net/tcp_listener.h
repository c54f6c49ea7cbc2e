#ifndef AL_NET_TCP_LISTENER_H_
#define AL_NET_TCP_LISTENER_H_

#include <functional>
#include <string_view>

#include "al_net/socket_poller.h"

namespace auburnloft {

/** Accepts TCP connections at one address.

    Thread safety: none; used on the loop's thread.
*/
class TcpListener {
 public:
  /** Takes over an accepted descriptor. */
  using OnAccepted = std::function<void(int descriptor)>;

  TcpListener(SocketPoller& poller, OnAccepted on_accepted);
  ~TcpListener();

  TcpListener(const TcpListener&) = delete;
  auto operator=(const TcpListener&) -> TcpListener& = delete;

  /** Listens at `address`, an `ip:port`. @return false where that fails. */
  [[nodiscard]] auto Listen(std::string_view address) -> bool;

  /** Stops accepting; connections that were accepted stay. */
  auto Close() -> void;

 private:
  auto AcceptAll() -> void;

  SocketPoller& poller;
  OnAccepted accepted;
  int descriptor = -1;
  SocketPoller::Token token = 0;
};

}  // namespace auburnloft

#endif  // AL_NET_TCP_LISTENER_H_

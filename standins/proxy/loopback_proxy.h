#ifndef PROXY_LOOPBACK_PROXY_H_
#define PROXY_LOOPBACK_PROXY_H_

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_server.h"
#include "al_net/tcp_connection.h"
#include "al_net/tcp_listener.h"

namespace auburnloft::standins {

/** TCP proxy that injects faults into the link between two processes on
    loopback.

    The control address accepts `POST /faults` with one of these words as the
    body: `none`, `cut` (both directions), `cut-up` (towards the target),
    `cut-down` (towards the client), `slow` (adds 80 ms in each direction) or
    `reset` (closes all open connections, once). A cut does not close
    connections: bytes are held back and forwarded when the cut ends.

    Thread safety: none; used on the event loop's thread.
*/
class LoopbackProxy {
 public:
  struct Settings {
    std::string address;          ///< IP:PORT on which clients connect.
    std::string target;           ///< IP:PORT of the target.
    std::string control_address;  ///< IP:PORT for `POST /faults`.
  };

  LoopbackProxy(SocketPoller& poller, Settings settings);
  ~LoopbackProxy();

  LoopbackProxy(const LoopbackProxy&) = delete;
  auto operator=(const LoopbackProxy&) -> LoopbackProxy& = delete;

  /** Starts to serve. @return false if an address is not available. */
  [[nodiscard]] auto Listen() -> bool;

  /** Replaces the current fault, except that `reset` keeps it.
      @return false if the word is unknown; faults are then turned off. */
  auto SetFault(std::string_view word) -> bool;

 private:
  struct ProxiedConnection;

  auto OnAccepted(int descriptor) -> void;
  auto Forward(ProxiedConnection& connection, bool to_target) -> void;
  auto Close(ProxiedConnection& connection) -> void;
  auto ResetAll() -> void;

  SocketPoller& poller;
  Settings settings;
  Http1SessionLimits limits;
  bool cut_to_target = false;
  bool cut_to_client = false;
  Duration delay{0};
  std::list<std::unique_ptr<ProxiedConnection>> connections;
  TcpListener listener;
  Http1Server control;
};

}  // namespace auburnloft::standins

#endif  // PROXY_LOOPBACK_PROXY_H_

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

/** Stands between two processes on loopback and harms their link.

    `POST /faults` at its control address with one of the words `none`, `cut`
   (both ways), `cut-up` (towards the target), `cut-down`, `slow` (80 ms each
   way) or `reset` (once, all open connections). Cuts are silent: bytes wait,
   and go on when the cut ends.

    Thread safety: none; used on the loop's thread.
*/
class LoopbackProxy {
 public:
  struct Settings {
    std::string address;
    std::string target;
    std::string control_address;
  };

  LoopbackProxy(SocketPoller& poller, Settings settings);
  ~LoopbackProxy();

  LoopbackProxy(const LoopbackProxy&) = delete;
  auto operator=(const LoopbackProxy&) -> LoopbackProxy& = delete;

  [[nodiscard]] auto Listen() -> bool;

  /** @return false where the word names no fault. */
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

#ifndef GATEWAY_PEER_CLIENT_POOL_H_
#define GATEWAY_PEER_CLIENT_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_http1/http1_client.h"
#include "al_net/socket_poller.h"

namespace auburnloft::gateway {

/** Connections to other routers, one call at a time on each.

    Thread safety: none; used on the loop's thread.
*/
class PeerClientPool {
 public:
  explicit PeerClientPool(SocketPoller& poller);
  ~PeerClientPool();

  PeerClientPool(const PeerClientPool&) = delete;
  auto operator=(const PeerClientPool&) -> PeerClientPool& = delete;

  /** Returns a client that is not busy, for the next call to the router at
     `address`. Valid until the next turn of the loop. */
  [[nodiscard]] auto IdleClient(const std::string& address) -> Http1Client&;

  /** Closes connections that have not been used lately. Call it about once a
     second. */
  auto CloseUnused() -> void;

 private:
  struct Peer {
    std::vector<std::unique_ptr<Http1Client>> clients;
    Instant used_at{};
  };

  SocketPoller& poller;
  std::map<std::string, Peer> peers;  ///< By address.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_PEER_CLIENT_POOL_H_

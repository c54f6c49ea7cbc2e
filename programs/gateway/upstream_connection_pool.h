#ifndef GATEWAY_UPSTREAM_CONNECTION_POOL_H_
#define GATEWAY_UPSTREAM_CONNECTION_POOL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"
#include "al_http1/http1_client_connection.h"

namespace auburnloft::gateway {

/** Kept connections to upstreams, with a bound for each upstream.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamConnectionPool {
 public:
  using Connection = std::shared_ptr<Http1ClientConnection>;

  explicit UpstreamConnectionPool(SocketPoller& poller) : poller(poller) {}

  UpstreamConnectionPool(const UpstreamConnectionPool&) = delete;
  auto operator=(const UpstreamConnectionPool&)
      -> UpstreamConnectionPool& = delete;

  //============================================================================
  // Commands

  /** Lends a connection to the upstream `id` at `address`: a kept one, or a new
     one where at most `most` are open.
      @return null where there is no room or no socket. */
  [[nodiscard]] auto Acquire(const std::string& id,
                             std::string_view address,
                             int max_open) -> Connection;

  /** Takes a connection back; keeps it where it may be used again.
      @param idle_timeout  how long the upstream keeps it, if it told. */
  auto Release(const std::string& id,
               const Connection& connection,
               std::optional<Duration> idle_timeout) -> void;

  /** Closes what is kept to an upstream that takes no more work. */
  auto CloseIdle(const std::string& id) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto CountOpen(const std::string& id) const -> int;

 private:
  struct IdleConnection {
    Connection connection;
    Instant expires_at{};
  };
  struct Group {
    std::vector<IdleConnection> idle;
    int in_use = 0;
  };

  auto RemoveIdle(const std::string& id,
                  const Http1ClientConnection* connection) -> void;

  SocketPoller& poller;
  std::unordered_map<std::string, Group> groups;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_CONNECTION_POOL_H_

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

/** Pools connections to upstreams, with a limit for each upstream.

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

  /** Acquires a connection to the upstream `id` at `address` for a request with
     the id `attempt_id`: an idle one, or a new one while fewer than `max_open`
     are in use. An idle one that has carried a refusal of this id is not used:
     a copy of that refusal would be taken for the answer.
      @return null at the limit, or if no socket can be opened. */
  [[nodiscard]] auto Acquire(const std::string& id,
                             std::string_view address,
                             std::string_view attempt_id,
                             int max_open) -> Connection;

  /** Releases a connection, which is kept if it is reusable.
      @param refused_id  the attempt id of the request if the upstream refused
        it, else empty.
      @param idle_timeout  how long the upstream keeps idle connections, if its
        response states it. */
  auto Release(const std::string& id,
               const Connection& connection,
               const std::string& refused_id,
               std::optional<Duration> idle_timeout) -> void;

  /** Closes the idle connections to an upstream that accepts no more requests.
   */
  auto CloseIdle(const std::string& id) -> void;

  //============================================================================
  // Queries

  /** Connections to the upstream `id`, in use or idle. */
  [[nodiscard]] auto CountOpen(const std::string& id) const -> int;

 private:
  struct IdleConnection {
    Connection connection;
    Instant expires_at{};
  };
  struct Group {
    std::vector<IdleConnection> idle;
    int in_use = 0;
    /** Refused requests, by connection that carried them. */
    std::unordered_map<const Http1ClientConnection*, std::vector<std::string>>
        refused;
  };

  /** Returns whether the connection may carry a request with the id. */
  [[nodiscard]] static auto MayCarry(const Group& group,
                                     const Connection& connection,
                                     std::string_view attempt_id) -> bool;

  auto RemoveIdle(const std::string& id,
                  const Http1ClientConnection* connection) -> void;

  SocketPoller& poller;
  std::unordered_map<std::string, Group> groups;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_CONNECTION_POOL_H_

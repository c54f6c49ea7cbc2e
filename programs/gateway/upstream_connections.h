#ifndef GATEWAY_UPSTREAM_CONNECTIONS_H_
#define GATEWAY_UPSTREAM_CONNECTIONS_H_

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
class UpstreamConnections {
 public:
  using Connection = std::shared_ptr<Http1ClientConnection>;

  explicit UpstreamConnections(SocketPoller& poller) : poller(poller) {}

  UpstreamConnections(const UpstreamConnections&) = delete;
  auto operator=(const UpstreamConnections&) -> UpstreamConnections& = delete;

  //============================================================================
  // Commands

  /** Lends a connection to the upstream `id` at `address`: a kept one, or a new
     one where at most `most` are open.
      @return null where there is no room or no socket. */
  [[nodiscard]] auto Take(const std::string& id,
                          std::string_view address,
                          int most) -> Connection;

  /** Takes a connection back; keeps it where it may be used again.
      @param idle_timeout  how long the upstream keeps it, if it told. */
  auto Return(const std::string& id,
              const Connection& connection,
              std::optional<Duration> idle_timeout) -> void;

  /** Closes what is kept to an upstream that takes no more work. */
  auto CloseIdle(const std::string& id) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto OpenTo(const std::string& id) const -> int;

 private:
  struct Kept {
    Connection connection;
    Instant until{};
  };
  struct Group {
    std::vector<Kept> idle;
    int lent = 0;
  };

  auto Forget(const std::string& id, const Http1ClientConnection* connection)
      -> void;

  SocketPoller& poller;
  std::unordered_map<std::string, Group> groups;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_CONNECTIONS_H_

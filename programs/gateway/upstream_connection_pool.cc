#include "gateway/upstream_connection_pool.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft::gateway {

namespace {

/** Timeout for establishing a connection: a few times the longest round trip
   between failure domains, and the retransmission of a lost packet. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

/** Fraction of an upstream's idle timeout during which a connection is reused,
   so that no request is sent while the upstream closes the connection. */
constexpr double kIdleTimeoutFraction = 0.6;

/** Idle timeout of upstreams whose responses state none. */
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(30);

/** A connection that carried this many refusals is closed, so that few ids are
   remembered. */
constexpr std::size_t kMaxRefusals = 64;

}  // namespace

auto UpstreamConnectionPool::Acquire(const std::string& id,
                                     std::string_view address,
                                     std::string_view attempt_id,
                                     int max_open) -> Connection {
  Group& group = this->groups[id];
  const Instant now = this->poller.loop().Now();
  while (!group.idle.empty()) {
    const IdleConnection kept = std::move(group.idle.back());
    group.idle.pop_back();
    if (kept.connection->is_reusable() && now < kept.expires_at &&
        !kept.connection->HasUnreadInput() &&
        MayCarry(group, kept.connection, attempt_id)) {
      kept.connection->SetOnIdleEnd({});
      ++group.in_use;
      return kept.connection;
    }
    group.refused.erase(kept.connection.get());
    kept.connection->Close();
  }
  if (group.in_use >= max_open) {
    return nullptr;
  }
  Connection connection =
      Http1ClientConnection::Connect(this->poller, address, kConnectTimeout);
  if (connection) {
    ++group.in_use;
  }
  return connection;
}

auto UpstreamConnectionPool::MayCarry(const Group& group,
                                      const Connection& connection,
                                      std::string_view attempt_id) -> bool {
  const auto found = group.refused.find(connection.get());
  return found == group.refused.end() ||
         std::ranges::find(found->second, attempt_id) == found->second.end();
}

auto UpstreamConnectionPool::Release(const std::string& id,
                                     const Connection& connection,
                                     const std::string& refused_id,
                                     std::optional<Duration> idle_timeout)
    -> void {
  Group& group = this->groups[id];
  group.in_use = std::max(0, group.in_use - 1);
  if (!refused_id.empty() && connection->is_reusable()) {
    group.refused[connection.get()].push_back(refused_id);
  }
  const auto refused = group.refused.find(connection.get());
  const bool has_many_refusals =
      refused != group.refused.end() && refused->second.size() >= kMaxRefusals;
  if (!connection->is_reusable() || has_many_refusals) {
    group.refused.erase(connection.get());
    connection->Close();
    return;
  }
  const double limit =
      static_cast<double>(idle_timeout.value_or(kDefaultIdleTimeout).count());
  const Instant expires_at =
      this->poller.loop().Now() +
      Duration(static_cast<std::int64_t>(limit * kIdleTimeoutFraction));
  connection->SetOnIdleEnd(
      [this, id, kept = connection.get()] { this->RemoveIdle(id, kept); });
  group.idle.push_back({connection, expires_at});
}

auto UpstreamConnectionPool::CloseIdle(const std::string& id) -> void {
  const auto found = this->groups.find(id);
  if (found == this->groups.end()) {
    return;
  }
  for (const IdleConnection& kept : std::exchange(found->second.idle, {})) {
    found->second.refused.erase(kept.connection.get());
    kept.connection->Close();
  }
  if (found->second.in_use == 0) {
    this->groups.erase(found);
  }
}

auto UpstreamConnectionPool::CountOpen(const std::string& id) const -> int {
  const auto found = this->groups.find(id);
  return found == this->groups.end()
             ? 0
             : found->second.in_use +
                   static_cast<int>(found->second.idle.size());
}

auto UpstreamConnectionPool::RemoveIdle(const std::string& id,
                                        const Http1ClientConnection* connection)
    -> void {
  const auto found = this->groups.find(id);
  if (found != this->groups.end()) {
    found->second.refused.erase(connection);
    std::erase_if(found->second.idle, [connection](const IdleConnection& kept) {
      return kept.connection.get() == connection;
    });
  }
}

}  // namespace auburnloft::gateway

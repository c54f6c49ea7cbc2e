#include "gateway/upstream_connections.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft::gateway {

namespace {

/** How long a connection may take to be established: some times the longest
   round trip between failure domains, and a lost packet. */
constexpr Duration kConnectLimit = std::chrono::milliseconds(400);

/** The part of an upstream's idle time-out for which a connection is used: a
   request must not cross the upstream's close. */
constexpr double kUsedPartOfIdleLimit = 0.6;

/** How long a connection is kept to an upstream that tells no time-out. */
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(30);

}  // namespace

auto UpstreamConnections::Take(const std::string& id,
                               std::string_view address,
                               int most) -> Connection {
  Group& group = this->groups[id];
  const Instant now = this->poller.loop().Now();
  while (!group.idle.empty()) {
    const Kept kept = std::move(group.idle.back());
    group.idle.pop_back();
    if (kept.connection->reusable() && now < kept.until) {
      kept.connection->SetOnIdleEnd({});
      ++group.lent;
      return kept.connection;
    }
    kept.connection->Close();
  }
  if (group.lent >= most) {
    return nullptr;
  }
  Connection connection =
      Http1ClientConnection::Connect(this->poller, address, kConnectLimit);
  if (connection) {
    ++group.lent;
  }
  return connection;
}

auto UpstreamConnections::Return(const std::string& id,
                                 const Connection& connection,
                                 std::optional<Duration> idle_timeout) -> void {
  Group& group = this->groups[id];
  group.lent = std::max(0, group.lent - 1);
  if (!connection->reusable()) {
    connection->Close();
    return;
  }
  const double limit =
      static_cast<double>(idle_timeout.value_or(kDefaultIdleLimit).count());
  const Instant until =
      this->poller.loop().Now() +
      Duration(static_cast<std::int64_t>(limit * kUsedPartOfIdleLimit));
  connection->SetOnIdleEnd(
      [this, id, kept = connection.get()] { this->Forget(id, kept); });
  group.idle.push_back({connection, until});
}

auto UpstreamConnections::CloseIdle(const std::string& id) -> void {
  const auto found = this->groups.find(id);
  if (found == this->groups.end()) {
    return;
  }
  for (const Kept& kept : std::exchange(found->second.idle, {})) {
    kept.connection->Close();
  }
  if (found->second.lent == 0) {
    this->groups.erase(found);
  }
}

auto UpstreamConnections::OpenTo(const std::string& id) const -> int {
  const auto found = this->groups.find(id);
  return found == this->groups.end()
             ? 0
             : found->second.lent + static_cast<int>(found->second.idle.size());
}

auto UpstreamConnections::Forget(const std::string& id,
                                 const Http1ClientConnection* connection)
    -> void {
  const auto found = this->groups.find(id);
  if (found != this->groups.end()) {
    std::erase_if(found->second.idle, [connection](const Kept& kept) {
      return kept.connection.get() == connection;
    });
  }
}

}  // namespace auburnloft::gateway

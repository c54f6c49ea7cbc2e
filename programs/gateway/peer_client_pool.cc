#include "gateway/peer_client_pool.h"

#include <algorithm>

#include "al_edge/loop/event_loop.h"

namespace auburnloft::gateway {

namespace {

/** Idle connections to a router that are kept. */
constexpr std::size_t kKeptClients = 2;

/** Connections to a router are dropped after this time without use. */
constexpr Duration kUnusedPeerLifetime = std::chrono::seconds(30);

}  // namespace

PeerClientPool::PeerClientPool(SocketPoller& poller) : poller(poller) {}

PeerClientPool::~PeerClientPool() = default;

auto PeerClientPool::IdleClient(const std::string& address) -> Http1Client& {
  Peer& peer = this->peers[address];
  peer.used_at = this->poller.loop().Now();
  const auto found = std::ranges::find_if(
      peer.clients, [](const auto& client) { return !client->is_busy(); });
  if (found != peer.clients.end()) {
    return **found;
  }
  return *peer.clients.emplace_back(
      std::make_unique<Http1Client>(this->poller, address));
}

auto PeerClientPool::CloseUnused() -> void {
  const Instant now = this->poller.loop().Now();
  for (auto& [address, peer] : this->peers) {
    std::size_t idle = 0;
    std::erase_if(peer.clients, [&idle](const auto& client) {
      return !client->is_busy() && ++idle > kKeptClients;
    });
  }
  std::erase_if(this->peers, [now](const auto& item) {
    const Peer& peer = item.second;
    return now - peer.used_at >= kUnusedPeerLifetime &&
           std::ranges::none_of(peer.clients, [](const auto& client) {
             return client->is_busy();
           });
  });
}

}  // namespace auburnloft::gateway

#ifndef AL_EDGE_PEER_PEER_SOCKET_H_
#define AL_EDGE_PEER_PEER_SOCKET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "al_actions/action.h"
#include "al_edge/loop/event_loop.h"
#include "peer.pb.h"

namespace auburnloft {

/** Exchanges messages between routers, with one ZeroMQ socket for receiving and
   one per peer for sending. Messages may be lost; the protocols resend messages
   that need an acknowledgement.

    Thread safety: none; use on the loop's thread. ZeroMQ runs its own I/O
   thread internally.
*/
class PeerSocket {
 public:
  using OnMessage = std::function<void(const wire::PeerMessage& message)>;

  PeerSocket(EventLoop& loop, OnMessage on_message);
  ~PeerSocket();

  PeerSocket(const PeerSocket&) = delete;
  auto operator=(const PeerSocket&) -> PeerSocket& = delete;

  //============================================================================
  // Commands

  /** Receives messages at `address`, an `ip:port`.
      @return false if the address is invalid or in use. */
  [[nodiscard]] auto Bind(const PeerAddress& address) -> bool;

  /** Sends a message, or discards it if the peer's queue is full. */
  auto Send(const PeerAddress& to, const wire::PeerMessage& message) -> void;

  /** Closes the socket to a peer that has left. */
  auto Disconnect(const PeerAddress& peer) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto bytes_sent() const -> std::uint64_t {
    return this->sent_bytes;
  }
  [[nodiscard]] auto bytes_received() const -> std::uint64_t {
    return this->received_bytes;
  }
  /** The number of messages discarded by Send(). */
  [[nodiscard]] auto dropped() const -> std::uint64_t {
    return this->dropped_messages;
  }

 private:
  struct Sockets;

  auto Receive() -> void;

  EventLoop& loop;
  OnMessage on_message;
  std::unique_ptr<Sockets> sockets;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped_messages = 0;
};

}  // namespace auburnloft

#endif  // AL_EDGE_PEER_PEER_SOCKET_H_

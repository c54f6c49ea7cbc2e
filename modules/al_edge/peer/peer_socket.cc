#include "al_edge/peer/peer_socket.h"

#include <utility>
#include <zmq.hpp>

namespace auburnloft {

namespace {

/** Maximum queue of messages to an unconnected or slow peer. Further messages
   are discarded, and their protocols resend them later. */
constexpr int kMaxQueuedMessages = 256;

/** Bounds of the exponential back-off between attempts to connect to a peer. */
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;

}  // namespace

struct PeerSocket::Sockets {
  zmq::context_t context{1};
  zmq::socket_t receiver{context, zmq::socket_type::pull};
  std::map<PeerAddress, zmq::socket_t> senders;
};

PeerSocket::PeerSocket(EventLoop& loop, OnMessage on_message)
    : loop(loop),
      on_message(std::move(on_message)),
      sockets(std::make_unique<Sockets>()) {
  this->sockets->receiver.set(zmq::sockopt::linger, 0);
}

PeerSocket::~PeerSocket() = default;

auto PeerSocket::Bind(const PeerAddress& address) -> bool {
  try {
    this->sockets->receiver.bind("tcp://" + address.value());
  } catch (const zmq::error_t&) {
    return false;
  }
  const int descriptor = this->sockets->receiver.get(zmq::sockopt::fd);
  return this->loop.WatchReadable(descriptor, [this] { this->Receive(); });
}

auto PeerSocket::Send(const PeerAddress& to, const wire::PeerMessage& message)
    -> void {
  auto found = this->sockets->senders.find(to);
  if (found == this->sockets->senders.end()) {
    zmq::socket_t sender(this->sockets->context, zmq::socket_type::push);
    sender.set(zmq::sockopt::linger, 0);
    sender.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
    sender.set(zmq::sockopt::reconnect_ivl, kMinReconnectMs);
    sender.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    sender.connect("tcp://" + to.value());
    found = this->sockets->senders.emplace(to, std::move(sender)).first;
  }
  const std::string bytes = message.SerializeAsString();
  if (found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
    this->sent_bytes += bytes.size();
  } else {
    ++this->dropped_messages;
  }
}

auto PeerSocket::Disconnect(const PeerAddress& peer) -> void {
  this->sockets->senders.erase(peer);
}

auto PeerSocket::Receive() -> void {
  zmq::message_t frame;
  while (this->sockets->receiver.recv(frame, zmq::recv_flags::dontwait)) {
    this->received_bytes += frame.size();
    wire::PeerMessage message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
      this->on_message(message);
    }
  }
}

}  // namespace auburnloft

#include "support/raw_upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/http1_request_reader.h"
#include "platform/wire_names.h"
#include "support/free_port.h"
#include "wire/wire_upstream.h"

namespace auburnloft::testing {

namespace {

constexpr Duration kSendInterval = std::chrono::milliseconds(1);

/** Bytes without end are sent while fewer than this many are unsent. */
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;

/** Closes a connection with a reset, unless it is closed. */
auto Reset(TcpConnection& connection, int descriptor) -> void {
  if (!connection.is_open()) {
    return;
  }
  const linger at_once{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  connection.Close();
}

/** Makes a reader that accepts bodies of any size. */
auto MakeReader() -> std::unique_ptr<Http1RequestReader> {
  Http1RequestLimits limits;
  limits.body_bytes = std::numeric_limits<std::size_t>::max();
  return std::make_unique<Http1RequestReader>(limits);
}

}  // namespace

struct RawUpstream::Peer {
  std::shared_ptr<TcpConnection> connection;
  int descriptor = -1;
  std::unique_ptr<Http1RequestReader> reader;
  std::string endless;  ///< Repeated without end, if not empty.
};

RawUpstream::RawUpstream(SocketPoller& poller, std::string id)
    : poller(poller),
      id(std::move(id)),
      address(AddressFor("raw " + this->id)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->SendMore(); })),
      listener(poller,
               [this](int descriptor) { this->OnAccepted(descriptor); }) {
  this->Listen();
}

RawUpstream::~RawUpstream() {
  for (const auto& peer : this->peers) {
    peer->connection->Close();
  }
}

auto RawUpstream::Crash() -> void {
  this->listener.Close();
  for (const auto& peer : this->peers) {
    Reset(*peer->connection, peer->descriptor);
  }
}

auto RawUpstream::Restart() -> void {
  this->Listen();
}

auto RawUpstream::SendWithoutEnd(const Arrival& arrival,
                                 std::string_view first,
                                 std::string_view repeated) -> void {
  arrival.send(first);
  std::string block;
  while (block.size() < kMaxUnsentBytes / 4) {
    block += repeated;
  }
  this->peers.back()->endless = block;
  this->timer->Start(kSendInterval);
}

auto RawUpstream::Entry(std::string_view service,
                        std::int64_t start_unix_ms) const -> std::string {
  standins::WireUpstream::Settings settings;
  settings.start_unix_ms = start_unix_ms;
  settings.id = this->id;
  settings.address = this->address;
  return standins::WireUpstream(this->poller, settings)
      .Entry(service, "a", false);
}

auto RawUpstream::open_connections() const -> int {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [](const auto& peer) { return peer->connection->is_open(); }));
}

auto RawUpstream::endless_connections() const -> int {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(), [](const auto& peer) {
        return peer->connection->is_open() && !peer->endless.empty();
      }));
}

auto RawUpstream::Head(const std::string& id, std::string_view fields)
    -> std::string {
  return "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdHeader) +
         ": " + id + "\r\n" + std::string(platform::kSealHeader) + ": seal-" +
         id + "\r\n" + std::string(fields) + "\r\n";
}

auto RawUpstream::Whole(const std::string& id, std::string_view body)
    -> std::string {
  return Head(id, "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         std::string(body);
}

auto RawUpstream::Listen() -> void {
  if (!this->listener.Listen(this->address)) {
    throw std::runtime_error("a raw upstream cannot listen on its port");
  }
}

auto RawUpstream::OnAccepted(int descriptor) -> void {
  auto peer = std::make_unique<Peer>();
  peer->descriptor = descriptor;
  TcpConnection::Callbacks callbacks;
  callbacks.on_input = [this, raw = peer.get()] { this->OnInput(*raw); };
  peer->reader = MakeReader();
  peer->connection =
      TcpConnection::Adopt(this->poller, descriptor, std::move(callbacks));
  this->peers.push_back(std::move(peer));
}

auto RawUpstream::OnInput(Peer& peer) -> void {
  peer.connection->Consume(peer.reader->Feed(peer.connection->input()));
  const bool has_arrived =
      this->reads_bodies ? peer.reader->is_done() : peer.reader->has_header();
  if (!has_arrived) {
    return;
  }
  peer.connection->SetReadingPaused(!peer.reader->is_done());
  Arrival arrival;
  const Http1RequestHead head = peer.reader->Head();
  arrival.id =
      std::string(head.fields.Find(platform::kAttemptIdHeader).value_or(""));
  arrival.target = head.target;
  peer.reader = MakeReader();
  arrival.number = ++this->arrival_count;
  arrival.send = [this, connection = peer.connection](std::string_view bytes) {
    this->total_sent += bytes.size();
    connection->Write(bytes);
  };
  arrival.close = [connection = peer.connection] {
    connection->CloseGracefully(std::chrono::seconds(2));
  };
  arrival.finish = [descriptor = peer.descriptor] {
    shutdown(descriptor, SHUT_WR);
  };
  arrival.drop = [connection = peer.connection] { connection->Close(); };
  arrival.reset = [connection = peer.connection, descriptor = peer.descriptor] {
    Reset(*connection, descriptor);
  };
  this->script(arrival);
}

auto RawUpstream::SendMore() -> void {
  bool is_sending = false;
  for (const auto& peer : this->peers) {
    if (peer->endless.empty() || !peer->connection->is_open()) {
      continue;
    }
    is_sending = true;
    if (peer->connection->unsent_bytes() < kMaxUnsentBytes) {
      this->total_sent += peer->endless.size();
      peer->connection->Write(peer->endless);
    }
  }
  if (is_sending) {
    this->timer->Start(kSendInterval);
  }
}

}  // namespace auburnloft::testing

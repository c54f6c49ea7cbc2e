#include "proxy/loopback_proxy.h"

#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft::standins {

namespace {

constexpr Duration kSlowDelay = std::chrono::milliseconds(80);
constexpr Duration kConnectLimit = std::chrono::seconds(5);
constexpr Duration kCloseLimit = std::chrono::seconds(1);

}  // namespace

/** One client connection and its connection to the target. */
struct LoopbackProxy::ProxiedConnection {
  std::shared_ptr<TcpConnection> client_side;  ///< To the client.
  std::shared_ptr<TcpConnection> target_side;  ///< To the target.
  std::unique_ptr<LoopTimer> to_target_timer;
  std::unique_ptr<LoopTimer> to_client_timer;
  bool closed = false;
};

LoopbackProxy::LoopbackProxy(SocketPoller& poller, Settings settings)
    : poller(poller),
      settings(std::move(settings)),
      listener(poller,
               [this](int descriptor) { this->OnAccepted(descriptor); }),
      control(poller,
              this->limits,
              [this](const std::shared_ptr<Http1ServerSession>& session,
                     const Http1Request& request) {
                Http1ResponseHead head;
                head.status = this->SetFault(request.body) ? 200 : 400;
                session->Respond(head, {});
              }) {}

LoopbackProxy::~LoopbackProxy() = default;

auto LoopbackProxy::Listen() -> bool {
  return this->listener.Listen(this->settings.address) &&
         this->control.Listen(this->settings.control_address);
}

auto LoopbackProxy::SetFault(std::string_view word) -> bool {
  if (word == "reset") {
    this->ResetAll();
    return true;
  }
  const bool known = word == "none" || word == "cut" || word == "cut-up" ||
                     word == "cut-down" || word == "slow";
  this->cut_to_target = word == "cut" || word == "cut-up";
  this->cut_to_client = word == "cut" || word == "cut-down";
  this->delay = word == "slow" ? kSlowDelay : Duration(0);
  for (const auto& connection : this->connections) {
    this->Forward(*connection, true);
    this->Forward(*connection, false);
  }
  return known;
}

auto LoopbackProxy::OnAccepted(int descriptor) -> void {
  auto connection = std::make_unique<ProxiedConnection>();
  ProxiedConnection* const opened = connection.get();
  const auto on_end = [this, opened](TcpCloseReason /*end*/) {
    this->Close(*opened);
  };
  const auto timer = [this, opened](bool to_target) {
    return std::make_unique<LoopTimer>(
        this->poller.loop(),
        [this, opened, to_target] { this->Forward(*opened, to_target); });
  };
  connection->to_target_timer = timer(true);
  connection->to_client_timer = timer(false);
  const auto start_forward_timer = [this, opened](bool to_target) {
    LoopTimer& timer =
        to_target ? *opened->to_target_timer : *opened->to_client_timer;
    if (!timer.running()) {
      timer.Start(this->delay);
    }
  };
  connection->client_side = TcpConnection::Adopt(
      this->poller, descriptor,
      {{}, [start_forward_timer] { start_forward_timer(true); }, {}, on_end});
  connection->target_side = TcpConnection::Connect(
      this->poller, this->settings.target, kConnectLimit,
      {{}, [start_forward_timer] { start_forward_timer(false); }, {}, on_end});
  if (!connection->client_side || !connection->target_side) {
    return;
  }
  this->connections.push_back(std::move(connection));
}

auto LoopbackProxy::Forward(ProxiedConnection& connection, bool to_target)
    -> void {
  if (connection.closed ||
      (to_target ? this->cut_to_target : this->cut_to_client)) {
    return;
  }
  TcpConnection& from =
      to_target ? *connection.client_side : *connection.target_side;
  TcpConnection& to =
      to_target ? *connection.target_side : *connection.client_side;
  const std::string bytes(from.input());
  if (!bytes.empty()) {
    from.Consume(bytes.size());
    to.Write(bytes);
  }
}

auto LoopbackProxy::Close(ProxiedConnection& connection) -> void {
  if (std::exchange(connection.closed, true)) {
    return;
  }
  // Forwards the bytes received before the close, except in a direction that
  // is cut.
  for (const bool to_target : {true, false}) {
    TcpConnection& from =
        to_target ? *connection.client_side : *connection.target_side;
    TcpConnection& to =
        to_target ? *connection.target_side : *connection.client_side;
    if (!(to_target ? this->cut_to_target : this->cut_to_client) &&
        to.is_open()) {
      to.Write(from.input());
    }
  }
  for (const auto& side : {connection.client_side, connection.target_side}) {
    side->SetCallbacks({});
    side->CloseGracefully(kCloseLimit);
  }
  this->poller.loop().Post([this, closed_connection = &connection] {
    std::erase_if(this->connections, [closed_connection](const auto& item) {
      return item.get() == closed_connection;
    });
  });
}

auto LoopbackProxy::ResetAll() -> void {
  for (const auto& connection : this->connections) {
    if (!std::exchange(connection->closed, true)) {
      connection->client_side->Close();
      connection->target_side->Close();
    }
  }
  this->poller.loop().Post([this] {
    std::erase_if(this->connections,
                  [](const auto& item) { return item->closed; });
  });
}

}  // namespace auburnloft::standins

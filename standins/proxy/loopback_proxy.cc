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

/** One connection through the proxy. */
struct LoopbackProxy::Pair {
  std::shared_ptr<TcpConnection> near;  ///< To who connected.
  std::shared_ptr<TcpConnection> far;   ///< To the target.
  std::unique_ptr<LoopTimer> up_timer;
  std::unique_ptr<LoopTimer> down_timer;
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
  this->cut_up = word == "cut" || word == "cut-up";
  this->cut_down = word == "cut" || word == "cut-down";
  this->delay = word == "slow" ? kSlowDelay : Duration(0);
  for (const auto& pair : this->pairs) {
    this->Pass(*pair, true);
    this->Pass(*pair, false);
  }
  return known;
}

auto LoopbackProxy::OnAccepted(int descriptor) -> void {
  auto pair = std::make_unique<Pair>();
  Pair* const opened = pair.get();
  const auto on_end = [this, opened](TcpCloseReason /*end*/) {
    this->Close(*opened);
  };
  const auto timer = [this, opened](bool up) {
    return std::make_unique<LoopTimer>(
        this->poller.loop(), [this, opened, up] { this->Pass(*opened, up); });
  };
  pair->up_timer = timer(true);
  pair->down_timer = timer(false);
  const auto arrived = [this, opened](bool up) {
    LoopTimer& timer = up ? *opened->up_timer : *opened->down_timer;
    if (!timer.running()) {
      timer.Start(this->delay);
    }
  };
  pair->near = TcpConnection::Adopt(
      this->poller, descriptor, {{}, [arrived] { arrived(true); }, {}, on_end});
  pair->far =
      TcpConnection::Connect(this->poller, this->settings.target, kConnectLimit,
                             {{}, [arrived] { arrived(false); }, {}, on_end});
  if (!pair->near || !pair->far) {
    return;
  }
  this->pairs.push_back(std::move(pair));
}

auto LoopbackProxy::Pass(Pair& pair, bool up) -> void {
  if (pair.closed || (up ? this->cut_up : this->cut_down)) {
    return;
  }
  TcpConnection& from = up ? *pair.near : *pair.far;
  TcpConnection& to = up ? *pair.far : *pair.near;
  const std::string bytes(from.input());
  if (!bytes.empty()) {
    from.Consume(bytes.size());
    to.Write(bytes);
  }
}

auto LoopbackProxy::Close(Pair& pair) -> void {
  if (std::exchange(pair.closed, true)) {
    return;
  }
  // The end passes a cut only as silence; what came before it is passed on.
  for (const bool up : {true, false}) {
    TcpConnection& from = up ? *pair.near : *pair.far;
    TcpConnection& to = up ? *pair.far : *pair.near;
    if (!(up ? this->cut_up : this->cut_down) && to.is_open()) {
      to.Write(from.input());
    }
  }
  for (const auto& side : {pair.near, pair.far}) {
    side->SetCallbacks({});
    side->CloseAfterWrite(kCloseLimit);
  }
  this->poller.loop().Defer([this, gone = &pair] {
    std::erase_if(this->pairs,
                  [gone](const auto& item) { return item.get() == gone; });
  });
}

auto LoopbackProxy::ResetAll() -> void {
  for (const auto& pair : this->pairs) {
    if (!std::exchange(pair->closed, true)) {
      pair->near->Close();
      pair->far->Close();
    }
  }
  this->poller.loop().Defer([this] {
    std::erase_if(this->pairs, [](const auto& item) { return item->closed; });
  });
}

}  // namespace auburnloft::standins

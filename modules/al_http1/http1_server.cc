#include "al_http1/http1_server.h"

#include <utility>

namespace auburnloft {

Http1Server::Http1Server(SocketPoller& poller,
                         const Http1SessionLimits& limits,
                         Http1ServerSession::OnRequest on_request)
    : poller(poller),
      limits(limits),
      on_request(std::move(on_request)),
      listener(poller,
               [this](int descriptor) { this->OnAccepted(descriptor); }) {}

Http1Server::~Http1Server() = default;

auto Http1Server::Listen(std::string_view address) -> bool {
  return this->listener.Listen(address);
}

auto Http1Server::CloseIdle(Duration min_idle) -> void {
  const auto open = this->sessions;  // Closing removes a session from the set.
  for (const auto& session : open) {
    session->CloseIfIdle(min_idle);
  }
}

auto Http1Server::StopListening() -> void {
  this->listener.Close();
  this->CloseIdle(Duration(0));
}

auto Http1Server::OnAccepted(int descriptor) -> void {
  auto session = Http1ServerSession::Open(
      this->poller, descriptor, this->limits, this->on_request,
      [this](Http1ServerSession* closed) {
        std::erase_if(this->sessions, [closed](const auto& item) {
          return item.get() == closed;
        });
      });
  if (session) {
    this->sessions.insert(std::move(session));
  }
}

}  // namespace auburnloft

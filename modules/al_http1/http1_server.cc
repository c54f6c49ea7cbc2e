#include "al_http1/http1_server.h"

#include <utility>

namespace auburnloft {

Http1Server::Http1Server(SocketPoller& poller,
                         const Http1SessionLimits& limits,
                         Http1ServerSession::OnRequest on_request)
    : poller(poller),
      limits(limits),
      requested(std::move(on_request)),
      listener(poller,
               [this](int descriptor) { this->OnAccepted(descriptor); }) {}

Http1Server::~Http1Server() = default;

auto Http1Server::Listen(std::string_view address) -> bool {
  return this->listener.Listen(address);
}

auto Http1Server::CloseIdle(Duration least) -> void {
  const auto open = this->sessions;  // Closing takes a session off the set.
  for (const auto& session : open) {
    session->CloseIfIdle(least);
  }
}

auto Http1Server::StopListening() -> void {
  this->listener.Close();
  this->CloseIdle(Duration(0));
}

auto Http1Server::OnAccepted(int descriptor) -> void {
  auto session = Http1ServerSession::Open(
      this->poller, descriptor, this->limits, this->requested,
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

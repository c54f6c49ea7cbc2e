#include "al_http1/http1_server.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

Http1Server::Http1Server(SocketPoller& poller,
                         const Http1SessionLimits& limits,
                         Http1ServerSession::OnRequest on_request,
                         std::shared_ptr<ByteBudget> large_bodies)
    : poller(poller),
      limits(limits),
      on_request(std::move(on_request)),
      large_bodies(std::move(large_bodies)),
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

auto Http1Server::StopListening(Duration min_idle) -> void {
  this->listener.AcceptPending();
  this->listener.Close();
  this->CloseIdle(min_idle);
}

auto Http1Server::HasUnsentResponses() const -> bool {
  return std::any_of(
             this->sessions.begin(), this->sessions.end(),
             [](const auto& session) { return session->unsent_bytes() > 0; }) ||
         std::any_of(this->closing.begin(), this->closing.end(),
                     [](const auto& weak) {
                       const auto connection = weak.lock();
                       return connection && connection->is_open() &&
                              connection->unsent_bytes() > 0;
                     });
}

auto Http1Server::OnAccepted(int descriptor) -> void {
  auto session = Http1ServerSession::Open(
      this->poller, descriptor, this->limits, this->on_request,
      [this](Http1ServerSession* closed) {
        std::erase_if(this->closing,
                      [](const auto& weak) { return weak.expired(); });
        this->closing.push_back(closed->tcp_connection());
        std::erase_if(this->sessions, [closed](const auto& item) {
          return item.get() == closed;
        });
      },
      this->large_bodies);
  if (session) {
    this->sessions.insert(std::move(session));
  }
}

}  // namespace auburnloft

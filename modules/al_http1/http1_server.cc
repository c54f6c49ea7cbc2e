#include "al_http1/http1_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnloft {

namespace {

/** Buffers of accepted sockets in the kernel, whose memory counts as the
    process's. 16 KiB in flight carry 128 Mbit/s at a round trip of 1 ms; a
   usual request fits. Responses of up to 64 KiB leave the process at once. */
constexpr SocketBuffers kBuffers = {16 * 1024, 64 * 1024};

/** Connections that are passed over for a new one, as they have input that was
    not read yet. Bounds the search; beyond it, the least useful one is refused.
 */
constexpr std::size_t kMaxPassedOver = 8;

/** Sent to a connection for which there is no room. */
constexpr std::string_view kNoRoom =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

Http1Server::Http1Server(SocketPoller& poller,
                         const Http1SessionLimits& limits,
                         Http1ServerSession::OnRequest on_request,
                         Http1ServerOptions options)
    : poller(poller),
      limits(limits),
      on_request(std::move(on_request)),
      options(std::make_shared<Http1ServerOptions>(std::move(options))),
      listener(poller,
               [this](int descriptor) { this->OnAccepted(descriptor); }) {
  if (this->options->on_limit) {
    this->options->on_limit = [this, call = std::move(this->options->on_limit)](
                                  Http1LimitEvent event) {
      event.connections = this->sessions.size();
      call(event);
    };
  }
}

Http1Server::~Http1Server() = default;

auto Http1Server::Listen(std::string_view address) -> bool {
  return this->listener.Listen(
      address, this->options->memory ? kBuffers : SocketBuffers());
}

auto Http1Server::CloseIdle(Duration min_idle) -> void {
  const auto open = this->sessions;  // Closing removes a session from the map.
  for (const auto& [key, session] : open) {
    session->CloseIfIdle(min_idle);
  }
}

auto Http1Server::StopListening(Duration min_idle) -> void {
  this->listener.AcceptPending();
  this->listener.Close();
  this->CloseIdle(min_idle);
}

auto Http1Server::HasUnsentResponses() const -> bool {
  return std::any_of(this->sessions.begin(), this->sessions.end(),
                     [](const auto& item) {
                       return item.second->unsent_bytes() > 0;
                     }) ||
         std::any_of(this->closing.begin(), this->closing.end(),
                     [](const auto& weak) {
                       const auto connection = weak.lock();
                       return connection && connection->is_open() &&
                              connection->unsent_bytes() > 0;
                     });
}

auto Http1Server::OnAccepted(int descriptor) -> void {
  if (!this->FindRoom()) {
    this->Report("connections_refused", 0);
    // Best effort: a response that the kernel does not take at once is dropped.
    send(descriptor, kNoRoom.data(), kNoRoom.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(descriptor, SHUT_WR);
    close(descriptor);
    return;
  }
  auto session = Http1ServerSession::Open(
      this->poller, descriptor, this->limits, this->on_request,
      [this](Http1ServerSession* closed) { this->OnSessionClosed(closed); },
      this->options);
  if (session) {
    Http1ServerSession* const key = session.get();
    this->sessions.emplace(key, std::move(session));
  }
}

auto Http1Server::OnSessionClosed(Http1ServerSession* closed) -> void {
  std::erase_if(this->closing, [](const auto& weak) {
    const auto connection = weak.lock();
    return !connection || !connection->is_open();
  });
  this->closing.push_back(closed->tcp_connection());
  this->sessions.erase(closed);
}

auto Http1Server::FindRoom() -> bool {
  const std::size_t limit = this->options->max_connections;
  if (limit == 0 || this->sessions.size() + this->closing.size() < limit) {
    return true;
  }
  if (this->CloseOneThatIsClosing() ||
      this->sessions.size() + this->closing.size() < limit) {
    return true;
  }
  const std::shared_ptr<Http1ServerSession> session = this->LeastUseful();
  if (!session) {
    return false;
  }
  session->CloseForRoom("connections_closed");
  // Its descriptor is needed now.
  if (const auto connection = session->tcp_connection().lock()) {
    connection->Close();
  }
  return true;
}

auto Http1Server::CloseOneThatIsClosing() -> bool {
  std::erase_if(this->closing, [](const auto& weak) {
    const auto connection = weak.lock();
    return !connection || !connection->is_open();
  });
  const auto sent = std::ranges::find_if(this->closing, [](const auto& weak) {
    return weak.lock()->unsent_bytes() == 0;
  });
  if (sent == this->closing.end()) {
    return false;
  }
  const auto connection = sent->lock();
  this->closing.erase(sent);
  connection->Close();
  return true;
}

auto Http1Server::LeastUseful() const -> std::shared_ptr<Http1ServerSession> {
  using Candidate = std::tuple<MemoryRank, Instant, Http1ServerSession*>;
  std::vector<Candidate> passed_over;
  while (true) {
    Candidate worst{MemoryRank::kProtected, Instant(), nullptr};
    for (const auto& [key, session] : this->sessions) {
      const Candidate candidate{session->Rank(), session->last_progress_at(),
                                key};
      if (candidate < worst &&
          std::ranges::find(passed_over, candidate) == passed_over.end()) {
        worst = candidate;
      }
    }
    const bool is_last = passed_over.size() == kMaxPassedOver;
    if (std::get<MemoryRank>(worst) == MemoryRank::kProtected || is_last) {
      worst = passed_over.empty() ? worst : passed_over.front();
    } else if (this->sessions.at(std::get<Http1ServerSession*>(worst))
                   ->MayHaveArrivedRequest()) {
      passed_over.push_back(worst);
      continue;
    }
    return std::get<MemoryRank>(worst) == MemoryRank::kProtected
               ? nullptr
               : this->sessions.at(std::get<Http1ServerSession*>(worst));
  }
}

auto Http1Server::Report(std::string_view limit, std::size_t bytes) const
    -> void {
  if (this->options->on_limit) {
    this->options->on_limit({limit, bytes});
  }
}

}  // namespace auburnloft

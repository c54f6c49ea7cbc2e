#include "al_http1/http1_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(800);

/** Maximum size of a reply. A page of the log has up to 1 MB of records, which
   its encoding makes longer by a third. */
constexpr std::size_t kMaxReplyBytes = std::size_t{4} << 20;

/** Maximum time of a call whose reply keeps arriving: far above that of a whole
   page over a slow link. */
constexpr Duration kMaxCallTime = std::chrono::seconds(60);

}  // namespace

Http1Client::Http1Client(SocketPoller& poller, std::string address)
    : poller(poller),
      address(std::move(address)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->GiveUp(); })) {}

Http1Client::~Http1Client() {
  if (this->connection) {
    this->connection->Close();
  }
}

auto Http1Client::Call(const Http1Request& request,
                       Duration inactivity_timeout,
                       OnReply on_reply) -> void {
  assert(!this->is_busy());
  this->pending_callback = std::move(on_reply);
  this->reply = {};
  // Bytes on an idle connection are no reply, or its end.
  if (this->connection &&
      (this->connection->HasUnreadInput() ||
       (this->reusable_until &&
        this->poller.loop().Now() >= *this->reusable_until))) {
    this->connection->Close();
  }
  if (!this->connection || !this->connection->is_reusable()) {
    this->connection = Http1ClientConnection::Connect(
        this->poller, this->address,
        std::min(inactivity_timeout, kConnectTimeout));
  }
  if (!this->connection) {
    this->poller.loop().Post([this] { this->Finish(std::nullopt); });
    return;
  }
  this->timer->Start(inactivity_timeout);
  const Instant latest_end = this->poller.loop().Now() + kMaxCallTime;
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.on_head = [this](const Http1ResponseHead& head) {
    this->reply.status = head.status;
    this->reply.fields = head.fields;
  };
  callbacks.on_body = [this, inactivity_timeout,
                       latest_end](const std::string& bytes) {
    if (this->reply.body.size() + bytes.size() > kMaxReplyBytes) {
      this->GiveUp();
      return;
    }
    this->timer->Start(
        std::min(inactivity_timeout, latest_end - this->poller.loop().Now()));
    this->reply.body.append(bytes);
  };
  callbacks.on_done = [this](Http1Outcome outcome) {
    const auto reuse_time = FindReuseTime(this->reply.fields);
    this->reusable_until =
        reuse_time ? std::optional(this->poller.loop().Now() + *reuse_time)
                   : std::nullopt;
    this->Finish(outcome == Http1Outcome::kComplete
                     ? std::optional(std::move(this->reply))
                     : std::nullopt);
  };
  this->connection->Start(SerializeRequest(request), false,
                          std::move(callbacks));
}

auto Http1Client::GiveUp() -> void {
  this->connection->Close();
  this->Finish(std::nullopt);
}

auto Http1Client::Finish(std::optional<Reply> result) -> void {
  this->timer->Stop();
  const OnReply call = std::exchange(this->pending_callback, {});
  if (call) {
    call(std::move(result));
  }
}

}  // namespace auburnloft

#include "gateway/peer_message.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** An age beyond a day is as good as any, and does not overflow. */
constexpr std::uint64_t kMaxSpanMillis = 86'400'000;

}  // namespace

auto MakePeerRequest(std::string_view path, std::string message)
    -> Http1Request {
  Http1Request call;
  call.method = "POST";
  call.target = std::string(path);
  call.fields.Add("Host", "peer");
  call.body = std::move(message);
  return call;
}

auto ToMillis(Duration duration) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto FromMillis(std::uint64_t millis) -> Duration {
  return std::chrono::milliseconds(std::min(millis, kMaxSpanMillis));
}

auto SendPeerReply(Http1ServerSession& session,
                   PeerStatus status,
                   std::string_view message) -> void {
  Http1ResponseHead head;
  head.status = static_cast<int>(status);
  head.reason = status == PeerStatus::kOk ? "OK" : "Refused";
  session.Respond(head, message);
}

}  // namespace auburnloft::gateway

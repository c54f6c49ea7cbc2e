#include "gateway/peer_message.h"

#include <utility>

namespace auburnloft::gateway {

auto MakePeerRequest(std::string_view path, std::string message)
    -> Http1Request {
  Http1Request call;
  call.method = "POST";
  call.target = std::string(path);
  call.fields.Add("Host", "peer");
  call.body = std::move(message);
  return call;
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

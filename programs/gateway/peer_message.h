#ifndef GATEWAY_PEER_MESSAGE_H_
#define GATEWAY_PEER_MESSAGE_H_

#include <string>
#include <string_view>

#include "al_http1/http1_message.h"
#include "al_http1/http1_server_session.h"

/** How messages between routers travel: the bytes of a wire message as the body
    of a call or of its answer. */
namespace auburnloft::gateway {

/** What a router answers another one's call with. */
enum class PeerStatus {
  kOk = 200,
  kBadRequest = 400,   ///< The call cannot be read.
  kUnavailable = 503,  ///< Not now.
};

[[nodiscard]] auto MakePeerRequest(std::string_view path, std::string message)
    -> Http1Request;

/** @pre a request is open on `session`. */
auto SendPeerReply(Http1ServerSession& session,
                   PeerStatus status,
                   std::string_view message) -> void;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_PEER_MESSAGE_H_

#ifndef GATEWAY_PEER_MESSAGE_H_
#define GATEWAY_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_server_session.h"

/** Messages between routers: the HTTP body is a serialized protobuf message. */
namespace auburnloft::gateway {

/** Status of a reply to another router's call. */
enum class PeerStatus {
  kOk = 200,
  kBadRequest = 400,   ///< The message is malformed.
  kUnavailable = 503,  ///< The router cannot reply yet; retry later.
};

[[nodiscard]] auto MakePeerRequest(std::string_view path, std::string message)
    -> Http1Request;

/** Returns a span as messages have it. @pre it is not negative. */
[[nodiscard]] auto ToMillis(Duration duration) -> std::uint64_t;

/** Returns a span that another router sent, cut to a day. */
[[nodiscard]] auto FromMillis(std::uint64_t millis) -> Duration;

/** Sends the reply to a call. @pre a request is open on `session`. */
auto SendPeerReply(Http1ServerSession& session,
                   PeerStatus status,
                   std::string_view message) -> void;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_PEER_MESSAGE_H_

#ifndef AL_ACTIONS_ACTION_H_
#define AL_ACTIONS_ACTION_H_

#include <string>
#include <variant>

#include "al_actions/refusal.h"
#include "al_core/ids/ids.h"
#include "peer.pb.h"

namespace auburnloft {

/** Identifies one outstanding call to the log service; the reply event carries
 * the same tag. */
using LogTag = std::uint64_t;

/** The address on which a router receives messages from other routers, as
 * `ip:port`. */
using PeerAddress = StrongId<struct PeerAddressTag>;

/** Sends a message to another router. Delivery is not guaranteed. */
struct SendPeerMessage {
  PeerAddress to;
  wire::PeerMessage message;
};

/** Appends one record to a stream of the log. The reply may be lost after the
 * append has taken effect. */
struct AppendRecord {
  LogTag tag = 0;
  StreamId stream;
  std::string bytes;
};

/** Reads records of a stream of the log, starting at an offset. */
struct ReadRecords {
  LogTag tag = 0;
  StreamId stream;
  LogOffset from = 0;
};

/** Sends an open request to an upstream. */
struct SendUpstreamRequest {
  RequestHandle handle = 0;
  UpstreamId upstream;
  int attempt =
      0;  ///< Counts from 1; events about an earlier attempt are ignored.
  int priority = 0;  ///< The engine schedules higher values first.
};

/** Resumes an interrupted response stream at the same upstream, after the last
 * piece received. */
struct ResumeUpstreamStream {
  RequestHandle handle = 0;
  UpstreamId upstream;
  int attempt = 0;
};

/** Cancels a request at its upstream. */
struct CancelUpstreamRequest {
  RequestHandle handle = 0;
  int attempt = 0;
};

/** Responds to a request with an error and closes it. */
struct RefuseRequest {
  RequestHandle handle = 0;
  Refusal refusal;
};

/** Responds to a request with the stored response of an earlier execution and
 * closes it. */
struct ReplayResponse {
  RequestHandle handle = 0;
  int http_status = 0;
  std::string content_type;
  std::string body;
};

/** Sends the caller the final part of a response, which was held back until a
 * witness (a second router) had a copy of the bill or a short time limit
 * passed. */
struct ReleaseResponse {
  RequestHandle handle = 0;
};

using Action = std::variant<SendPeerMessage,
                            AppendRecord,
                            ReadRecords,
                            SendUpstreamRequest,
                            ResumeUpstreamStream,
                            CancelUpstreamRequest,
                            RefuseRequest,
                            ReplayResponse,
                            ReleaseResponse>;

}  // namespace auburnloft

#endif  // AL_ACTIONS_ACTION_H_

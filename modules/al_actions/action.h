#ifndef AL_ACTIONS_ACTION_H_
#define AL_ACTIONS_ACTION_H_

#include <string>
#include <variant>

#include "al_actions/refusal.h"
#include "al_core/ids/ids.h"
#include "peer.pb.h"

namespace auburnloft {

/** Names one outstanding call to the log; the reply event carries it back. */
using LogTag = std::uint64_t;

/** Where a router listens for messages of its peers, as `ip:port`. */
using PeerAddress = StrongId<struct PeerAddressTag>;

/** Send a message to a peer. It may be lost. */
struct SendPeerMessage {
  PeerAddress to;
  wire::PeerMessage message;
};

/** Append one record to a stream of the log. The reply may be lost after it
 * took effect. */
struct AppendRecord {
  LogTag tag = 0;
  StreamId stream;
  std::string bytes;
};

/** Read records of a stream of the log, from an offset. */
struct ReadRecords {
  LogTag tag = 0;
  StreamId stream;
  LogOffset from = 0;
};

/** Send an open request to an upstream. */
struct SendUpstreamRequest {
  RequestHandle handle = 0;
  UpstreamId upstream;
  int attempt = 0;   ///< From 1; reports about an earlier attempt are ignored.
  int priority = 0;  ///< Higher goes first at the engine.
};

/** Go on with a stream that broke off, at the same upstream, after the last
 * piece received. */
struct ResumeUpstreamStream {
  RequestHandle handle = 0;
  UpstreamId upstream;
  int attempt = 0;
};

/** Stop the work of a request at its upstream. */
struct CancelUpstreamRequest {
  RequestHandle handle = 0;
  int attempt = 0;
};

/** Answer a request with an error. The request is closed. */
struct RefuseRequest {
  RequestHandle handle = 0;
  Refusal refusal;
};

/** Answer a request with the kept outcome of an earlier run. The request is
 * closed. */
struct ReplayResponse {
  RequestHandle handle = 0;
  int http_status = 0;
  std::string content_type;
  std::string body;
};

/** Release the final part of an answer that was held back until its bill was
 * safe. */
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

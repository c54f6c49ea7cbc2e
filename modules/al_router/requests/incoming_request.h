#ifndef AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_
#define AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"
#include "al_traffic/upstreams/prefix_cache_estimate.h"

namespace auburnloft {

/** The position from which an interrupted response stream can be resumed. */
struct ResumePoint {
  UpstreamId upstream;
  std::string stream;  ///< The upstream's identifier of the stream.
  std::uint64_t sequence =
      0;  ///< Sequence number of the last piece that the caller received.
};

/** A validated request, ready for the decision code. */
struct IncomingRequest {
  TeamId team;
  RequestKey key;
  std::int64_t issued_at_ms = 0;
  bool at_most_once = false;
  RequestClass request_class;
  std::string model;    ///< For engines.
  std::string service;  ///< For services; empty for engines.
  Tokens upper = 0;     ///< Upper bound of its cost.
  std::vector<PrefixDigest> prefix;
  std::optional<ResumePoint> resume;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_
